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
import { childController, sleep } from "@sassafrascleat/runtime";
import { MAX_SILENT_DIALS, REDIAL_PAUSE_MS } from "../constants.ts";
import { readFrames } from "./frame_reader.ts";
import type { RawReply, SidecarClient } from "./sidecar_client.ts";

/** How an attempt's stream ended. */
export type StreamEnd =
  | { ended: true; finish: FinishReason }
  | { ended: false; failure: StreamFailure; refusal?: RefusalReason };

/** Takes the next tokens of the answer; resolves when the caller can take more. */
export type TokenSink = (tokens: string[]) => Promise<void>;

/** What reading one connection came to. */
interface ConnectionEnd {
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
  #redial: AbortController | undefined;
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
    this.#redial?.abort();
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
      this.#client.renewConnections();
      await sleep(REDIAL_PAUSE_MS, signal);
    }
    return { ended: false, failure: StreamFailure.Cancelled };
  }

  async #readConnection(
    sink: TokenSink,
    signal: AbortSignal,
  ): Promise<ConnectionEnd> {
    const controller = childController(signal);
    this.#redial = controller;
    const silence = new SilenceTimer(() => controller.abort());
    const result: ConnectionEnd = { heard: false };
    try {
      silence.arm();
      const reply = await this.#dial(controller.signal);
      const refused = refusalOf(reply);
      if (refused) return { heard: true, end: refused };
      for await (const frame of readFrames(reply.body)) {
        silence.disarm();
        if (this.#isOurs(frame)) {
          result.heard = this.#heard = true;
          const taken = await this.#take(frame, sink);
          if (taken === Taken.Gap) return result;
          if (taken !== Taken.Continue) return { heard: true, end: taken };
        }
        silence.arm();
      }
    } catch (err) {
      if (err instanceof SinkError) throw err.cause;
    } finally {
      silence.disarm();
      controller.abort();
    }
    return result;
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

  async #take(frame: Frame, sink: TokenSink): Promise<Taken | StreamEnd> {
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

/** Calls back when it stays armed for `STREAM_SILENCE_MS`. */
class SilenceTimer {
  readonly #onSilence: () => void;
  #timer: NodeJS.Timeout | undefined;

  constructor(onSilence: () => void) {
    this.#onSilence = onSilence;
  }

  arm(): void {
    this.disarm();
    this.#timer = setTimeout(this.#onSilence, STREAM_SILENCE_MS);
  }

  disarm(): void {
    clearTimeout(this.#timer);
  }
}

/** A 4xx answer refuses the attempt; a 5xx counts as a broken connection. */
function refusalOf(reply: RawReply): StreamEnd | undefined {
  if (reply.statusCode === 200) return undefined;
  reply.body.resume();
  if (reply.statusCode >= 500) throw new Error("the sidecar failed");
  return { ended: false, failure: StreamFailure.Refused };
}
