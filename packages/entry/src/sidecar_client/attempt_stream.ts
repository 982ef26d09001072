/**
 * The token stream of one attempt, over as many connections as it takes.
 * Silence for `STREAM_SILENCE_MS` means that a connection is dead: the stream
 * goes on at its offset over a new one. Frames of other attempts and frames
 * that do not continue the answer are dropped. The silence timer runs only
 * while a frame is awaited, so that a slow caller does not look like a dead
 * connection.
 */
import {
  type FinishReason,
  type Frame,
  FrameKind,
  type RefusalReason,
  type StartRequest,
  STREAM_SILENCE_MS,
  StreamFailure,
} from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { MAX_SILENT_DIALS, REDIAL_PAUSE_MS } from "../constants.ts";
import { readFrames } from "./frame_reader.ts";
import { EndReason, LinkedAbort } from "./linked_abort.ts";
import type { RawReply, SidecarClient } from "./sidecar_client.ts";
import type { Watch } from "./watchdog.ts";
import type { Readable } from "node:stream";

/** How an attempt's stream ended. */
export type StreamEnd =
  | { ended: true; finish: FinishReason }
  | { ended: false; failure: StreamFailure; refusal?: RefusalReason };

/**
 * Takes the next tokens of the answer. A promise resolves when the caller can
 * take more; without one it can at once.
 */
export type TokenSink = (tokens: string[]) => Promise<void> | undefined;

/** One connection, and what reading it came to. */
interface Connection {
  link: LinkedAbort;
  silence: Watch;
  end?: StreamEnd;
  /** Whether the connection brought any frame of this attempt. */
  heard: boolean;
}

/** Reads the stream of one attempt. */
export class AttemptStream {
  readonly #client: SidecarClient;
  readonly #req: StartRequest;
  #offset = 0;
  #heard = false;
  #redial: LinkedAbort | undefined;
  /** Connections opened after the first. */
  redials = 0;
  /** Frames dropped for another attempt or a wrong offset. */
  dropped = 0;

  constructor(client: SidecarClient, req: StartRequest) {
    this.#client = client;
    this.#req = req;
  }

  /** Tokens of this attempt handed to the sink. */
  get offset(): number {
    return this.#offset;
  }

  /** Whether the sidecar was ever heard about this attempt. */
  get heard(): boolean {
    return this.#heard;
  }

  /** Gives the present connection up for a new one. */
  redial(): void {
    this.#redial?.abort(EndReason.Silent);
  }

  /** Reads until the attempt is over or `signal` aborts (`Cancelled`). */
  async run(sink: TokenSink, signal: AbortSignal): Promise<StreamEnd> {
    let silentDials = 0;
    while (!signal.aborted) {
      const connection = await this.#readConnection(sink, signal);
      if (connection.end) return connection.end;
      silentDials = connection.heard ? 0 : silentDials + 1;
      if (silentDials >= MAX_SILENT_DIALS) {
        return { ended: false, failure: StreamFailure.EngineLost };
      }
      this.redials += 1;
      await sleep(REDIAL_PAUSE_MS, signal);
    }
    return { ended: false, failure: StreamFailure.Cancelled };
  }

  async #readConnection(
    sink: TokenSink,
    signal: AbortSignal,
  ): Promise<Connection> {
    const link = new LinkedAbort(signal);
    this.#redial = link;
    const used = this.#client.connections;
    const silence = this.#client.watchdog.watch(STREAM_SILENCE_MS, () => {
      this.#client.renewConnections(used);
      link.abort(EndReason.Silent);
    });
    const connection: Connection = { link, silence, heard: false };
    try {
      return await this.#read(connection, sink);
    } catch (err) {
      if (err instanceof SinkError) throw err.cause;
      return connection;
    } finally {
      if (!connection.end) {
        silence.stop();
        link.abort(EndReason.Done);
      }
      link.unlink();
    }
  }

  async #read(connection: Connection, sink: TokenSink): Promise<Connection> {
    const { link, silence } = connection;
    const reply = await this.#dial(link.signal);
    const refused = refusalOf(reply);
    if (refused) return { ...connection, heard: true, end: refused };
    await readFrames(reply.body, (frames) => {
      const took = this.#takeAll(frames, sink, connection);
      if (!took.wait) return this.#took(took.taken, connection);
      silence.pause();
      return took.wait.then(() => this.#took(took.taken, connection));
    });
    if (connection.end) finish(reply.body, connection);
    return connection;
  }

  /** Notes what frames came to; whether the connection is read on. */
  #took(taken: Taken | StreamEnd, connection: Connection): boolean {
    if (taken === Taken.Gap) return false;
    connection.silence.heard();
    if (taken === Taken.Continue) return true;
    connection.end = taken;
    return false;
  }

  #dial(signal: AbortSignal): Promise<RawReply> {
    const req = this.#req;
    if (!this.#heard) return this.#client.start(req, signal);
    return this.#client.resume({
      requestId: req.requestId,
      attempt: req.attempt,
      entryId: req.entryId,
      incarnation: req.incarnation,
      offset: this.#offset,
    }, signal);
  }

  #isOurs(frame: Frame): boolean {
    const ours = frame.requestId === this.#req.requestId &&
      frame.attempt === this.#req.attempt;
    if (!ours) this.dropped += 1;
    return ours;
  }

  /** Takes the frames of one chunk; their tokens reach the sink together. */
  #takeAll(frames: Frame[], sink: TokenSink, connection: Connection): Took {
    const tokens: string[] = [];
    let taken: Taken | StreamEnd = Taken.Continue;
    for (const frame of frames) {
      if (!this.#isOurs(frame)) continue;
      connection.heard = this.#heard = true;
      taken = this.#take(frame, tokens);
      if (taken !== Taken.Continue) break;
    }
    const wait = tokens.length > 0 ? this.#deliver(tokens, sink) : undefined;
    return { taken, wait };
  }

  /** Adds the frame's tokens to `tokens` when they continue the answer. */
  #take(frame: Frame, tokens: string[]): Taken | StreamEnd {
    if (frame.kind === FrameKind.Failed) {
      const { failure, refusal } = frame;
      return { ended: false, failure, refusal };
    }
    if (frame.offset > this.#offset) return this.#drop(Taken.Gap);
    if (frame.offset < this.#offset) return this.#drop(Taken.Continue);
    if (frame.kind === FrameKind.End) {
      return { ended: true, finish: frame.finish };
    }
    if (frame.kind === FrameKind.Tokens) {
      tokens.push(...frame.tokens);
      this.#offset += frame.tokens.length;
    }
    return Taken.Continue;
  }

  #drop(taken: Taken): Taken {
    this.dropped += 1;
    return taken;
  }

  #deliver(tokens: string[], sink: TokenSink): Promise<void> | undefined {
    try {
      return sink(tokens)?.catch((err) => {
        throw new SinkError(err);
      });
    } catch (err) {
      return Promise.reject(new SinkError(err));
    }
  }
}

/** What a frame means for its connection. */
enum Taken {
  Continue = "continue",
  /** Frames are missing: the connection can't continue the answer. */
  Gap = "gap",
}

/** What the frames of one chunk came to. */
interface Took {
  taken: Taken | StreamEnd;
  /** Resolves when the caller can take more; absent when it can at once. */
  wait: Promise<void> | undefined;
}

/** Keeps failures of the sink apart from those of the connection. */
class SinkError extends Error {
  constructor(cause: unknown) {
    super("the sink failed", { cause });
  }
}

/** A 4xx answer refuses the attempt; a 5xx counts as a broken connection. */
function refusalOf(reply: RawReply): StreamEnd | undefined {
  if (reply.statusCode === 200) return undefined;
  reply.body.resume();
  if (reply.statusCode >= 500) throw new Error("the sidecar failed");
  return { ended: false, failure: StreamFailure.Refused };
}

/** Reads what follows the last frame, so that the connection can be used again. */
function finish(body: Readable, connection: Connection): void {
  // The answer is whole: what becomes of the connection now only ends the watch.
  const stop = () => connection.silence.stop();
  if (body.closed) return stop();
  body.once("close", stop);
  body.resume();
}
