/**
 * The input of one caller's connection, in front of `node:http`. It takes over
 * the listener that `node:http` has installed on the socket and passes it one
 * framed request at a time: whole heads, and bodies in one chunk for each read.
 * Input behind a request in progress is held back, up to a bound beyond which
 * reading is paused. Until then reading goes on, since a paused connection
 * doesn't notice that its caller has closed it.
 */
import type { Socket } from "node:net";
import { HeldBytes } from "./held_bytes.ts";
import type { InputMemory } from "./input_memory.ts";
import { allocateForRead } from "./read_buffers.ts";
import {
  type FramedHead,
  FramerState,
  FramingFault,
  type HeadLimits,
  MALFORMED_CHUNK,
  RequestFramer,
} from "./request_framer.ts";
import type { TurnBudget, TurnTask } from "./turn_budget.ts";

/** Why a connection's input was rejected. */
export type InputRejection = FramingFault | "ambiguous" | "no_memory";

/** Options of {@link CallerInput}. */
export interface CallerInputOptions {
  socket: Socket;
  turns: TurnBudget;
  memory: InputMemory;
  limits: () => HeadLimits;
  /** Returns false if a request with this head doesn't fit in the heap. */
  admits: (head: FramedHead) => boolean;
  /** Returns the response to a request that was rejected. */
  buildRejection: (reason: InputRejection, head?: FramedHead) => string;
}

/** Input of one connection that is being processed, in bytes. */
const MAX_READY_BYTES = 64 * 1024;
/**
 * Input of one connection behind a request in progress, in bytes. Beyond it
 * reading is paused, and a caller that leaves isn't noticed, so it is more than
 * callers send that pipeline some requests.
 */
const MAX_BLOCKED_BYTES = 1024 * 1024;
/** Work for a head and for each of its lines beside its bytes, in units. */
const HEAD_WORK = 2 * 1024;
const HEADER_LINE_WORK = 32;
/** Bytes of a body of declared length, which is not scanned, for each unit. */
const BODY_BYTES_PER_WORK = 8;
/**
 * Time in which a rejected caller can read the response, in milliseconds. A
 * connection that is closed with unread input is reset, and the response lost.
 */
const LINGER_MS = 1_000;

/** Input of one connection. */
export class CallerInput implements TurnTask {
  readonly #options: CallerInputOptions;
  readonly #socket: Socket;
  readonly #framer: RequestFramer;
  readonly #held = new HeldBytes();
  readonly #server: ServerListeners;
  #accountedBytes = 0;
  /** A request has been passed on and is not over. */
  #isRequestOpen = false;
  #isRefused = false;
  #isPaused = false;
  #extraWork = 0;

  /** Takes over a connection that `node:http` has accepted. */
  constructor(options: CallerInputOptions) {
    this.#options = options;
    this.#socket = options.socket;
    this.#framer = new RequestFramer({
      onHeadStart: (firstByte) => this.#deliver(firstByte),
      onHead: (head) => this.#passHead(head),
      onBody: (bytes) => this.#deliver(bytes),
      onAmbiguous: (bytes) => this.#passAmbiguous(bytes),
      onFault: (fault) => this.#rejectFault(fault),
    }, options.limits);
    this.#server = takeOverInput(
      options.socket,
      (bytes) => this.#add(bytes),
    );
    this.#socket.on("resume", () => {
      // node:http resumes the connection whenever it reads a body.
      if (this.#isPaused) this.#socket.pause();
    });
    this.#socket.on("drain", () => this.#proceed());
    this.#socket.once("close", () => this.#close());
    this.updateFlow();
  }

  /** Memory of input that waits for the caller or for a response, in bytes. */
  get waitingBytes(): number {
    return this.isReady ? 0 : this.#memoryBytes;
  }

  /** True if input can be processed. */
  get isReady(): boolean {
    return this.#held.size > 0 && !this.#isBlocked;
  }

  /**
   * Notes that `node:http` has parsed a request; false if it must not be served:
   * it isn't one that this stage has framed.
   */
  acceptRequest(): boolean {
    if (this.#isRefused || this.#isRequestOpen) {
      this.#refuse();
      return false;
    }
    this.#isRequestOpen = true;
    return true;
  }

  /** Notes that the request in progress and its response are over. */
  endRequest(): void {
    this.#isRequestOpen = false;
    if (this.#isRefused) this.#finish();
    else this.#proceed();
  }

  /** True if the connection closes after the response in progress. */
  get isClosing(): boolean {
    return this.#isRefused;
  }

  /**
   * Discards the input behind a request in progress, and all that follows; the
   * connection closes after the response. False if there is no such input.
   */
  discardBlocked(): boolean {
    if (!this.#isRequestOpen || !this.#isBlocked) return false;
    this.#refuse();
    this.#held.clear();
    this.#account();
    this.updateFlow();
    return true;
  }

  /** Pauses or resumes reading as the memory in use demands. */
  updateFlow(): void {
    const maxBytes = this.#isBlocked ? MAX_BLOCKED_BYTES : MAX_READY_BYTES;
    const isPaused = this.#options.memory.isFull ||
      this.#held.size >= maxBytes;
    if (isPaused === this.#isPaused || this.#socket.destroyed) return;
    this.#isPaused = isPaused;
    if (isPaused) this.#pause();
    else this.#socket.resume();
  }

  /** True if reading is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  run(maxWork: number): number {
    let work = 0;
    while (work < maxWork && this.isReady) {
      this.#framer.startNext();
      const isBody = this.#framer.state === FramerState.DeclaredBody;
      const bytesPerWork = isBody ? BODY_BYTES_PER_WORK : 1;
      const maxBytes = bytesPerWork * Math.ceil(maxWork - work);
      const read = this.#framer.read(this.#held.peek(maxBytes));
      this.#held.take(read);
      work += read / bytesPerWork + this.#extraWork;
      this.#extraWork = 0;
    }
    this.#account();
    this.updateFlow();
    return work;
  }

  /**
   * A stream that has been resumed in this tick, as new ones are, starts reading
   * in the next one although it has been paused meanwhile, and reads ahead.
   */
  #pause(): void {
    this.#socket.pause();
    process.nextTick(() => {
      if (this.#isPaused) this.#server.stopReading();
    });
  }

  get #isBlocked(): boolean {
    if (this.#framer.state !== FramerState.Complete) return false;
    return this.#isRequestOpen || this.#socket.writableNeedDrain;
  }

  get #memoryBytes(): number {
    return this.#held.memoryBytes + this.#framer.heldBytes;
  }

  #add(bytes: Buffer): void {
    allocateForRead(bytes.length);
    if (this.#framer.state === FramerState.Ended) return;
    this.#held.add(bytes);
    this.#proceed();
  }

  #proceed(): void {
    this.#options.turns.submit(this);
    // What is left of a read must not keep the memory of all of it.
    if (this.#held.size > 0) this.#held.compact();
    this.#account();
    this.updateFlow();
  }

  #account(): void {
    const bytes = this.#socket.destroyed ? 0 : this.#memoryBytes;
    const added = bytes - this.#accountedBytes;
    if (added === 0) return;
    this.#accountedBytes = bytes;
    this.#options.memory.add(added);
  }

  #deliver(bytes: Buffer): void {
    if (!this.#socket.destroyed) this.#server.deliver(bytes);
  }

  #passHead(head: FramedHead): void {
    this.#extraWork += HEAD_WORK + HEADER_LINE_WORK * head.headerLines;
    if (!this.#options.admits(head)) {
      this.#reject("no_memory", head);
      return;
    }
    this.#deliver(head.bytes.subarray(head.startedBytes));
    // node:http has answered it itself, or its parser has rejected it.
    if (!this.#isRequestOpen) this.#finish();
  }

  #passAmbiguous(bytes: Buffer): void {
    const { buildRejection } = this.#options;
    const response = buildRejection("ambiguous");
    this.#isRefused = true;
    this.#deliver(bytes);
    if (this.#socket.destroyed || this.#socket.writableEnded) return;
    if (this.#isRequestOpen) this.#socket.destroy();
    else this.#respond(response);
  }

  #rejectFault(fault: FramingFault): void {
    if (fault !== FramingFault.ChunkFraming) {
      this.#reject(fault);
      return;
    }
    this.#options.buildRejection(fault);
    this.#isRefused = true;
    this.#deliver(MALFORMED_CHUNK);
    this.#socket.destroySoon();
  }

  #reject(reason: InputRejection, head?: FramedHead): void {
    this.#respond(this.#options.buildRejection(reason, head));
  }

  /** Sends a response, and discards input until the caller has read it. */
  #respond(response: string): void {
    this.#refuse();
    this.#socket.end(response, "latin1");
    const timer = setTimeout(() => this.#socket.destroy(), LINGER_MS);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  /** Ends the connection when what has been written is sent. */
  #finish(): void {
    this.#refuse();
    const { destroyed, writableEnded } = this.#socket;
    if (!destroyed && !writableEnded) this.#socket.destroySoon();
  }

  #refuse(): void {
    this.#isRefused = true;
    this.#framer.end();
  }

  #close(): void {
    this.#options.turns.remove(this);
    this.#framer.end();
    this.#held.clear();
    this.#account();
  }
}

/** What `node:http` does with a connection. */
interface ServerListeners {
  /** Parses input. */
  deliver(bytes: Buffer): void;
  /** Stops the reading of a paused connection. */
  stopReading(): void;
}

/**
 * Replaces the listener for input of `node:http` and returns it. Another
 * listener makes `node:http` stop reading from the handle by itself, and remove
 * those for `pause` and `resume`, which stop and start the reading at once.
 */
function takeOverInput(
  socket: Socket,
  onBytes: (bytes: Buffer) => void,
): ServerListeners {
  const [listener] = socket.listeners("data");
  const flow = [
    ["pause", socket.listeners("pause")],
    ["resume", socket.listeners("resume")],
  ] as const;
  if (!listener) throw new Error("node:http has no listener for input");
  socket.removeListener("data", listener as (bytes: Buffer) => void);
  socket.on("data", onBytes);
  for (const [event, listeners] of flow) {
    const present = socket.listeners(event);
    for (const it of listeners) {
      if (!present.includes(it)) socket.on(event, it as () => void);
    }
  }
  const onPause = flow[0][1];
  return {
    deliver: (bytes) => listener.call(socket, bytes),
    stopReading: () => onPause.forEach((it) => it.call(socket)),
  };
}
