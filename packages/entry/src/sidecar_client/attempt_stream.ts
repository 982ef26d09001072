/**
 * Reads the token stream of one attempt, reconnecting as needed. A connection
 * on which nothing arrives for `STREAM_TIMEOUT_MS` counts as dead, and the
 * stream resumes at its offset over a new one. Frames of other attempts and
 * frames that do not continue the answer are dropped. The silence timer runs
 * only while a frame is awaited, so that a slow caller is not mistaken for a
 * dead connection.
 */
import {
  type FinishReason,
  type Frame,
  FrameKind,
  type RefusalReason,
  type StartRequest,
  STREAM_TIMEOUT_MS,
  StreamFailure,
} from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { MAX_SILENT_CONNECTIONS, RECONNECT_DELAY_MS } from "../constants.ts";
import { readFrames } from "./frame_reader.ts";
import { LinkAbortReason, LinkedAbortController } from "./linked_abort.ts";
import type { RawReply, SidecarClient } from "./sidecar_client.ts";
import type { SilenceTimer } from "./watchdog.ts";
import type { Readable } from "node:stream";

/** How an attempt's stream ended. */
export type StreamEnd =
  | { ended: true; finish: FinishReason }
  | { ended: false; failure: StreamFailure; refusal?: RefusalReason };

/**
 * Receives the next tokens of the answer. A returned promise resolves when the
 * caller can accept more; without one, it can immediately.
 */
export type TokenSink = (tokens: string[]) => Promise<void> | undefined;

/** One connection and the result of reading it. */
interface Connection {
  link: LinkedAbortController;
  silenceTimer: SilenceTimer;
  end?: StreamEnd;
  /** Whether any frame of this attempt arrived on the connection. */
  receivedFrame: boolean;
}

/** Reads the stream of one attempt. */
export class AttemptStream {
  readonly #client: SidecarClient;
  readonly #req: StartRequest;
  #offset = 0;
  #receivedFrame = false;
  #currentLink: LinkedAbortController | undefined;
  /** Connections opened after the first. */
  reconnects = 0;
  /** Frames dropped for another attempt or a wrong offset. */
  dropped = 0;

  constructor(client: SidecarClient, req: StartRequest) {
    this.#client = client;
    this.#req = req;
  }

  /** Number of tokens of this attempt passed to the sink. */
  get offset(): number {
    return this.#offset;
  }

  /** Whether any frame of this attempt has arrived. */
  get receivedFrame(): boolean {
    return this.#receivedFrame;
  }

  /** Aborts the current connection, so that the stream resumes on a new one. */
  reconnect(): void {
    this.#currentLink?.abort(LinkAbortReason.Silent);
  }

  /** Reads until the attempt ends or `signal` aborts (`Cancelled`). */
  async run(sink: TokenSink, signal: AbortSignal): Promise<StreamEnd> {
    let silentConnections = 0;
    while (!signal.aborted) {
      const connection = await this.#readConnection(sink, signal);
      if (connection.end) return connection.end;
      silentConnections = connection.receivedFrame ? 0 : silentConnections + 1;
      if (silentConnections >= MAX_SILENT_CONNECTIONS) {
        return { ended: false, failure: StreamFailure.EngineLost };
      }
      this.reconnects += 1;
      await sleep(RECONNECT_DELAY_MS, signal);
    }
    return { ended: false, failure: StreamFailure.Cancelled };
  }

  async #readConnection(
    sink: TokenSink,
    signal: AbortSignal,
  ): Promise<Connection> {
    const link = new LinkedAbortController(signal);
    this.#currentLink = link;
    const usedConnections = this.#client.connections;
    const silenceTimer = this.#client.watchdog.watch(STREAM_TIMEOUT_MS, () => {
      this.#client.replaceConnections(usedConnections);
      link.abort(LinkAbortReason.Silent);
    });
    const connection: Connection = { link, silenceTimer, receivedFrame: false };
    try {
      return await this.#read(connection, sink);
    } catch (err) {
      if (err instanceof SinkError) throw err.cause;
      return connection;
    } finally {
      if (!connection.end) {
        silenceTimer.stop();
        link.abort(LinkAbortReason.Done);
      }
      link.unlink();
    }
  }

  async #read(connection: Connection, sink: TokenSink): Promise<Connection> {
    const { link, silenceTimer } = connection;
    const reply = await this.#connect(link.signal);
    const refused = refusalFromStatus(reply);
    if (refused) return { ...connection, receivedFrame: true, end: refused };
    await readFrames(reply.body, (frames) => {
      const result = this.#processChunk(frames, sink, connection);
      if (!result.sinkReady) {
        return this.#handleChunkResult(result.next, connection);
      }
      silenceTimer.pause();
      return result.sinkReady.then(() =>
        this.#handleChunkResult(result.next, connection)
      );
    });
    if (connection.end) discardRest(reply.body, connection);
    return connection;
  }

  /** Records a chunk's result; returns whether to read on. */
  #handleChunkResult(
    next: FrameResult | StreamEnd,
    connection: Connection,
  ): boolean {
    if (next === FrameResult.Gap) return false;
    connection.silenceTimer.restart();
    if (next === FrameResult.Continue) return true;
    connection.end = next;
    return false;
  }

  #connect(signal: AbortSignal): Promise<RawReply> {
    const req = this.#req;
    if (!this.#receivedFrame) return this.#client.start(req, signal);
    return this.#client.resume({
      requestId: req.requestId,
      attempt: req.attempt,
      entryId: req.entryId,
      incarnation: req.incarnation,
      offset: this.#offset,
    }, signal);
  }

  #belongsToAttempt(frame: Frame): boolean {
    const matches = frame.requestId === this.#req.requestId &&
      frame.attempt === this.#req.attempt;
    if (!matches) this.dropped += 1;
    return matches;
  }

  /** Processes the frames of one chunk; the sink gets their tokens in one call. */
  #processChunk(
    frames: Frame[],
    sink: TokenSink,
    connection: Connection,
  ): ChunkResult {
    const tokens: string[] = [];
    let next: FrameResult | StreamEnd = FrameResult.Continue;
    for (const frame of frames) {
      if (!this.#belongsToAttempt(frame)) continue;
      connection.receivedFrame = this.#receivedFrame = true;
      next = this.#processFrame(frame, tokens);
      if (next !== FrameResult.Continue) break;
    }
    const sinkReady = tokens.length > 0
      ? this.#deliver(tokens, sink)
      : undefined;
    return { next, sinkReady };
  }

  /** Adds the frame's tokens to `tokens` if they continue the answer. */
  #processFrame(frame: Frame, tokens: string[]): FrameResult | StreamEnd {
    if (frame.kind === FrameKind.Failed) {
      const { failure, refusal } = frame;
      return { ended: false, failure, refusal };
    }
    if (frame.offset > this.#offset) return this.#dropFrame(FrameResult.Gap);
    if (frame.offset < this.#offset) {
      return this.#dropFrame(FrameResult.Continue);
    }
    if (frame.kind === FrameKind.End) {
      return { ended: true, finish: frame.finish };
    }
    if (frame.kind === FrameKind.Tokens) {
      tokens.push(...frame.tokens);
      this.#offset += frame.tokens.length;
    }
    return FrameResult.Continue;
  }

  #dropFrame(result: FrameResult): FrameResult {
    this.dropped += 1;
    return result;
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

/** How to proceed with a connection after a frame. */
enum FrameResult {
  Continue = "continue",
  /** Frames are missing: the connection can't continue the answer. */
  Gap = "gap",
}

/** The result of processing one chunk. */
interface ChunkResult {
  next: FrameResult | StreamEnd;
  /** Resolves when the caller can accept more; undefined if it can now. */
  sinkReady: Promise<void> | undefined;
}

/** Distinguishes failures of the sink from those of the connection. */
class SinkError extends Error {
  constructor(cause: unknown) {
    super("the token sink failed", { cause });
  }
}

/** A 4xx reply refuses the attempt; a 5xx reply counts as a broken connection. */
function refusalFromStatus(reply: RawReply): StreamEnd | undefined {
  if (reply.statusCode === 200) return undefined;
  reply.body.resume();
  if (reply.statusCode >= 500) {
    throw new Error("the sidecar replied with a server error");
  }
  return { ended: false, failure: StreamFailure.Refused };
}

/** Reads the body past the last frame, so that the connection can be reused. */
function discardRest(body: Readable, connection: Connection): void {
  // The answer is complete, so any end of the body only stops the timer.
  const stop = () => connection.silenceTimer.stop();
  if (body.closed) return stop();
  body.once("close", stop);
  body.resume();
}
