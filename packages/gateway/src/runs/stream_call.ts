/**
 * Forwards one stream from a backend server to the caller. Events are forwarded
 * as they arrive, but only once they are complete. The stream is complete when
 * the server's response has ended and its last event is not truncated.
 */
import { childAbortController } from "@sassafrascleat/runtime";
import type { Backend } from "../backends/backend.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import { ByteCollector } from "../http/byte_collector.ts";
import { type CompleteEvents, EventSplitter } from "../http/event_splitter.ts";
import type { MemoryAccount } from "../http/memory_budget.ts";
import { MAX_ERROR_BYTES, MAX_EVENT_BYTES } from "../http/response_limits.ts";
import {
  CallFailure,
  declaresLength,
  type ResponseFlowControl,
} from "../http/upstream_call.ts";
import type { Directives, RawHeaders } from "../http/wire_codec.ts";
import type { StreamProgress } from "./generation.ts";
import { ReaderWatch } from "./reader_watch.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import { mayBeCutOff } from "./response_end.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";

/** How a stream from one backend server ended. */
export enum StreamEnd {
  Complete = "complete",
  /** The request provably did not run. */
  NotExecuted = "not_executed",
  /** The backend server responded with an error. */
  BackendError = "backend_error",
  /** The stream ended before its last event, or never began. */
  Cut = "cut",
  /** No event arrived for too long, and the stream was given up. */
  Silent = "silent",
  /** The caller disconnected or the deadline passed. */
  Aborted = "aborted",
}

/** The result of one stream. */
export interface StreamResult {
  end: StreamEnd;
  /** Events forwarded from this backend server. */
  events: number;
  status: number;
  /** Headers of the response; with `body` they make up an error response. */
  headers: RawHeaders;
  body: Buffer;
  message: string;
  /** The response had no length, so that it ended with its connection. */
  endedByClose: boolean;
}

/** Options of one stream. */
export interface StreamCallOptions {
  backend: Backend;
  directives: Directives;
  progress: StreamProgress;
  signal: AbortSignal;
  /**
   * Time without an event after which `mayLeave` is called, in milliseconds; 0
   * waits until the deadline.
   */
  silenceCheckMs: number;
  /** Called before the first event is forwarded. */
  onFirstEvent: () => void;
  /** Called on the first event, and again when the stream ends. */
  onFirstEventOrEnd: () => void;
  /**
   * Decides whether a stream without events since `sinceMs`, in milliseconds of
   * the process clock, is given up. The signal aborts when an event arrives.
   */
  mayLeave: (sinceMs: number, signal: AbortSignal) => Promise<boolean>;
}

const EMPTY = Buffer.alloc(0);

/** Forwards one stream until it ends. */
export function runStreamCall(
  ctx: RunContext,
  req: CallerRequest,
  options: StreamCallOptions,
): Promise<StreamResult> {
  return new StreamCall(ctx, req, options).run();
}

class StreamCall {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #options: StreamCallOptions;
  readonly #splitter = new EventSplitter();
  readonly #controller: AbortController;
  /** For what can't be passed on yet. */
  readonly #memory: MemoryAccount;
  readonly #errorBody = new ByteCollector();
  #verdict: ReplyVerdict | undefined;
  /** The body consists of events for the caller, and is no error's text. */
  #hasEvents = false;
  #status = 0;
  #headers: RawHeaders = [];
  #events = 0;
  #silent = false;
  /** Why the response was given up as invalid. */
  #invalidReason: string | undefined;
  /** Comments that arrived before the first event. */
  #leadingComments: Buffer[] = [];
  #leadingBytes = 0;
  #silenceTimer: ReturnType<typeof setTimeout> | undefined;
  #silenceCheck: AbortController | undefined;
  /** Start of the stream, or arrival of its last event. */
  #silentSinceMs = 0;
  #reader: ReaderWatch | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    options: StreamCallOptions,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#options = options;
    this.#controller = childAbortController(options.signal);
    this.#memory = ctx.upstream.memory.open();
  }

  run(): Promise<StreamResult> {
    const { backend, directives } = this.#options;
    const req = this.#req;
    return new Promise((resolve) => {
      const settle = (end: StreamEnd, message = "") => {
        this.#options.onFirstEventOrEnd();
        this.#stopSilenceCheck();
        this.#reader?.close();
        const result = this.#result(end, message);
        this.#errorBody.clear();
        this.#memory.release();
        resolve(result);
      };
      this.#watchSilence();
      this.#ctx.upstream.open(
        {
          backend,
          method: req.method,
          path: req.target,
          headers: this.#ctx.codec.buildBackendHeaders(req.headers, directives),
          body: req.body,
        },
        {
          onHead: (status, headers, flow) =>
            this.#onHead(status, headers, flow),
          onData: (chunk) => this.#onData(chunk),
          onEnd: () => void this.#endOfResponse().then(settle),
          onFailure: (failure, sent, message) =>
            settle(
              this.#endOfFailure(failure, sent),
              this.#invalidReason ?? message,
            ),
        },
        this.#controller.signal,
      );
    });
  }

  #onHead(
    status: number,
    headers: RawHeaders,
    flow: ResponseFlowControl,
  ): void {
    const metadata = this.#ctx.codec.parseResponse(status, headers);
    this.#status = status;
    this.#headers = headers;
    const { progress } = this.#options;
    this.#reader = new ReaderWatch(this.#ctx, this.#req, progress, flow);
    this.#verdict = classifyReply(
      status,
      metadata,
      this.#req.metadata.requestId,
    );
    this.#hasEvents = this.#verdict === ReplyVerdict.Good &&
      this.#mayHaveEvents(status);
    if (this.#verdict !== ReplyVerdict.InvalidResponse) return;
    this.#giveUp("response to another request");
  }

  /** Only a 200 continues a stream that another server has begun. */
  #mayHaveEvents(status: number): boolean {
    if (this.#req.responder.started) return status === 200;
    return status >= 200 && status < 300;
  }

  #giveUp(reason: string): void {
    this.#invalidReason = reason;
    this.#controller.abort();
  }

  #onData(chunk: Buffer): void {
    this.#readChunk(chunk);
    const heldBytes = this.#errorBody.heldBytes + this.#leadingBytes +
      this.#splitter.pendingBytes;
    if (this.#invalidReason || this.#memory.holdResponse(heldBytes)) return;
    this.#giveUp("no memory left for the response");
  }

  #readChunk(chunk: Buffer): void {
    if (!this.#hasEvents) {
      this.#errorBody.add(chunk);
      if (this.#errorBody.size <= MAX_ERROR_BYTES) return;
      return this.#giveUp(`error longer than ${MAX_ERROR_BYTES} bytes`);
    }
    const events = this.#splitter.push(chunk);
    if (events) this.#onEvents(events);
    if (this.#splitter.pendingBytes <= MAX_EVENT_BYTES) return;
    this.#giveUp(`event longer than ${MAX_EVENT_BYTES} bytes`);
  }

  #onEvents(events: CompleteEvents): void {
    if (events.count === 0) return this.#forwardComments(events.bytes);
    if (this.#events === 0) {
      this.#options.onFirstEvent();
      this.#options.onFirstEventOrEnd();
    }
    this.#watchSilence();
    this.#recordProgress(events);
    this.#write(events.bytes);
  }

  /** Passes comments on; they neither begin a response nor keep it alive. */
  #forwardComments(bytes: Buffer): void {
    if (this.#req.responder.started) return this.#write(bytes);
    this.#leadingComments.push(bytes);
    this.#leadingBytes += bytes.length;
    if (this.#leadingBytes <= MAX_EVENT_BYTES) return;
    this.#giveUp(`no event in ${this.#leadingBytes} bytes`);
  }

  #recordProgress({ count, lastId }: CompleteEvents): void {
    const { progress } = this.#options;
    const nowMs = this.#ctx.clock.now();
    progress.firstEventAtMs ??= nowMs;
    const gapMs = nowMs - (progress.lastEventAtMs ?? nowMs);
    progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
    progress.lastEventAtMs = nowMs;
    progress.events += count;
    progress.lastEventId = lastId ?? progress.lastEventId;
    this.#events += count;
  }

  #write(bytes: Buffer): void {
    const { responder } = this.#req;
    if (!responder.started) {
      const headers = this.#ctx.codec.buildCallerHeaders(this.#headers);
      responder.startStream(this.#status, headers);
    }
    const comments = this.#leadingComments;
    this.#leadingComments = [];
    this.#leadingBytes = 0;
    if (responder.write(Buffer.concat([...comments, bytes]))) return;
    this.#reader?.onUnread();
  }

  #watchSilence(): void {
    this.#stopSilenceCheck();
    this.#silentSinceMs = this.#ctx.clock.now();
    this.#startSilenceTimer();
  }

  #stopSilenceCheck(): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceCheck?.abort();
  }

  #startSilenceTimer(): void {
    const { silenceCheckMs } = this.#options;
    if (silenceCheckMs <= 0) return;
    this.#silenceTimer = setTimeout(
      () => void this.#checkSilence(),
      silenceCheckMs,
    );
  }

  async #checkSilence(): Promise<void> {
    const check = childAbortController(this.#controller.signal);
    this.#silenceCheck = check;
    const { mayLeave } = this.#options;
    const leaves = await mayLeave(this.#silentSinceMs, check.signal);
    if (check.signal.aborted) return;
    if (!leaves) return this.#startSilenceTimer();
    this.#silent = true;
    this.#controller.abort();
  }

  async #endOfResponse(): Promise<StreamEnd> {
    if (this.#verdict === ReplyVerdict.NotExecuted) {
      return StreamEnd.NotExecuted;
    }
    if (!this.#hasEvents) return StreamEnd.BackendError;
    if (this.#splitter.pendingBytes > 0) return StreamEnd.Cut;
    if (await this.#mayBeCutOff()) return StreamEnd.Cut;
    // A response without events keeps its headers and its comments.
    if (!this.#req.responder.started) this.#write(EMPTY);
    return StreamEnd.Complete;
  }

  #mayBeCutOff(): Promise<boolean> {
    const { backend } = this.#options;
    const start = { status: this.#status, headers: this.#headers };
    return mayBeCutOff(this.#ctx, this.#req, backend, start);
  }

  #endOfFailure(failure: CallFailure, sent: boolean): StreamEnd {
    if (this.#silent) return StreamEnd.Silent;
    if (failure === CallFailure.Aborted && !this.#invalidReason) {
      return StreamEnd.Aborted;
    }
    return sent ? StreamEnd.Cut : StreamEnd.NotExecuted;
  }

  #result(end: StreamEnd, message: string): StreamResult {
    const isError = end === StreamEnd.BackendError;
    return {
      end,
      events: this.#events,
      status: this.#status,
      headers: this.#headers,
      body: isError ? this.#errorBody.toBuffer() : EMPTY,
      message,
      endedByClose: end === StreamEnd.Complete &&
        !declaresLength(this.#headers),
    };
  }
}

/** Outcome of a call for health, from the way its stream ended. */
export function callOutcomeOf(
  { end, status }: StreamResult,
): CallOutcome | undefined {
  switch (end) {
    case StreamEnd.Complete:
      return CallOutcome.Good;
    case StreamEnd.BackendError:
      return status < 500 ? CallOutcome.Good : CallOutcome.Error;
    case StreamEnd.Cut:
    case StreamEnd.Silent:
      return CallOutcome.NoResponse;
    default:
      return undefined;
  }
}
