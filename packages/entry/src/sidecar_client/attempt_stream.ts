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

/** How an attempt's stream ended. */
export type StreamEnd =
  | { ended: true; finish: FinishReason }
  | { ended: false; failure: StreamFailure; refusal?: RefusalReason };

/** Takes the next tokens of the answer; resolves when the caller can take more. */
export type TokenSink = (tokens: string[]) => Promise<void>;

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
    const frames = readFrames(reply.body);
    while (true) {
      const next = await frames.next();
      if (next.done) return connection;
      silence.pause();
      const taken = this.#isOurs(next.value)
        ? await this.#take(next.value, sink, connection)
        : Taken.Continue;
      if (taken === Taken.Gap) return connection;
      silence.heard();
      if (taken === Taken.Continue) continue;
      connection.end = taken;
      void finish(frames, connection);
      return connection;
    }
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

  async #take(
    frame: Frame,
    sink: TokenSink,
    connection: Connection,
  ): Promise<Taken | StreamEnd> {
    connection.heard = this.#heard = true;
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
      await this.#deliver(frame.tokens, sink);
    }
    return Taken.Continue;
  }

  #drop(taken: Taken): Taken {
    this.dropped += 1;
    return taken;
  }

  async #deliver(tokens: string[], sink: TokenSink): Promise<void> {
    this.#offset += tokens.length;
    try {
      await sink(tokens);
    } catch (err) {
      throw new SinkError(err);
    }
  }
}

/** What a frame means for its connection. */
enum Taken {
  Continue = "continue",
  /** Frames are missing: the connection can't continue the answer. */
  Gap = "gap",
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
async function finish(
  frames: AsyncGenerator<Frame>,
  connection: Connection,
): Promise<void> {
  try {
    while (!(await frames.next()).done);
  } catch {
    // The connection is gone; the answer was whole before.
  } finally {
    connection.silence.stop();
  }
}
