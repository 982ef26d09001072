/**
 * One stream from a backend server to the caller. Only whole events are passed
 * on, as they arrive. The stream is complete when the server's answer is whole
 * and no event is left torn.
 */
import { childController } from "@sassafrascleat/runtime";
import type { Backend } from "../backends/backend.ts";
import { CallVerdict } from "../decide/backend_health.ts";
import { EventSplitter } from "../http/event_splitter.ts";
import { CallFailure, type UpstreamFlow } from "../http/upstream.ts";
import type { Directives, RawHeaders } from "../http/wire_codec.ts";
import type { StreamProgress } from "./generation.ts";
import { judgeReply, ReplyVerdict } from "./reply_verdict.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";

/** How a stream from one backend server ended. */
export enum StreamEnd {
  Complete = "complete",
  /** Proved not to have run. */
  NotExecuted = "not_executed",
  /** The backend server answered with an error of its own. */
  BackendError = "backend_error",
  /** It ended before its last event, or never began. */
  Cut = "cut",
  /** No event came for too long. */
  Silent = "silent",
  /** The caller or the deadline ended it. */
  Aborted = "aborted",
}

/** What became of one stream. */
export interface StreamResult {
  end: StreamEnd;
  /** Events passed on by this backend server. */
  events: number;
  status: number;
  /** Headers and body of its error. */
  headers: RawHeaders;
  body: Buffer;
  message: string;
}

/** Options of one stream. */
export interface StreamCallOptions {
  backend: Backend;
  directives: Directives;
  progress: StreamProgress;
  signal: AbortSignal;
  /**
   * Time without an event after which `isLost` is asked, in milliseconds; 0
   * waits for as long as the caller does.
   */
  silenceMs: number;
  /** Called when the first event has come, or its stream has ended. */
  onBegun: () => void;
  /** True when the stream is to be given up. */
  isLost: () => Promise<boolean>;
}

/** Largest error answer that is kept, in bytes. */
const MAX_ERROR_BYTES = 1024 * 1024;

/** Runs one stream to its end. */
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
  readonly #errorBody: Buffer[] = [];
  #errorBytes = 0;
  #verdict: ReplyVerdict | undefined;
  #status = 0;
  #headers: RawHeaders = [];
  #events = 0;
  #settled = false;
  #silent = false;
  #foreign = false;
  #watch: ReturnType<typeof setTimeout> | undefined;
  #flow: UpstreamFlow | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    options: StreamCallOptions,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#options = options;
    this.#controller = childController(options.signal);
  }

  run(): Promise<StreamResult> {
    const { backend, directives } = this.#options;
    const req = this.#req;
    return new Promise((resolve) => {
      const settle = (end: StreamEnd, message = "") => {
        this.#settled = true;
        this.#options.onBegun();
        clearTimeout(this.#watch);
        resolve(this.#result(end, message));
      };
      this.#expectProgress();
      this.#ctx.upstream.open(
        {
          backend,
          method: req.method,
          path: req.target,
          headers: this.#ctx.codec.toBackend(req.headers, directives),
          body: req.body,
        },
        {
          onHead: (status, headers, flow) => this.#head(status, headers, flow),
          onData: (chunk) => this.#data(chunk),
          onEnd: () => settle(this.#endOfAnswer()),
          onFailure: (failure, sent, message) =>
            settle(this.#endOfFailure(failure, sent), message),
        },
        this.#controller.signal,
      );
    });
  }

  #head(status: number, headers: RawHeaders, flow: UpstreamFlow): void {
    const facts = this.#ctx.codec.readReply(status, headers);
    this.#status = status;
    this.#headers = headers;
    this.#flow = flow;
    this.#verdict = judgeReply(status, facts, this.#req.facts.requestId);
    if (this.#verdict !== ReplyVerdict.Foreign) return;
    this.#foreign = true;
    this.#controller.abort();
  }

  #data(chunk: Buffer): void {
    if (this.#verdict !== ReplyVerdict.Good) {
      this.#errorBytes += chunk.length;
      if (this.#errorBytes <= MAX_ERROR_BYTES) this.#errorBody.push(chunk);
      return;
    }
    const whole = this.#splitter.push(chunk);
    if (!whole) return;
    if (this.#events === 0) this.#options.onBegun();
    this.#expectProgress();
    this.#passOn(whole.bytes, whole.count, whole.lastId);
  }

  #passOn(bytes: Buffer, count: number, lastId: string | undefined): void {
    const { progress } = this.#options;
    const { responder } = this.#req;
    const nowMs = this.#ctx.clock.now();
    if (!responder.started) {
      const headers = this.#ctx.codec.toCaller(this.#headers);
      responder.startStream(this.#status, headers);
    }
    progress.firstEventAtMs ??= nowMs;
    const gapMs = nowMs - (progress.lastEventAtMs ?? nowMs);
    progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
    progress.lastEventAtMs = nowMs;
    progress.events += count;
    progress.lastEventId = lastId ?? progress.lastEventId;
    this.#events += count;
    if (responder.write(bytes)) return;
    this.#flow?.pause();
    responder.onceDrained(() => this.#flow?.resume());
  }

  #expectProgress(): void {
    const { silenceMs } = this.#options;
    if (silenceMs <= 0) return;
    clearTimeout(this.#watch);
    this.#watch = setTimeout(() => void this.#checkSilence(), silenceMs);
  }

  async #checkSilence(): Promise<void> {
    const before = this.#events;
    const lost = await this.#options.isLost();
    if (this.#settled) return;
    if (!lost || this.#events > before) {
      this.#expectProgress();
      return;
    }
    this.#silent = true;
    this.#controller.abort();
  }

  #endOfAnswer(): StreamEnd {
    if (this.#verdict === ReplyVerdict.NotExecuted) {
      return StreamEnd.NotExecuted;
    }
    if (this.#verdict !== ReplyVerdict.Good) return StreamEnd.BackendError;
    const torn = this.#splitter.pendingBytes > 0;
    return torn ? StreamEnd.Cut : StreamEnd.Complete;
  }

  #endOfFailure(failure: CallFailure, sent: boolean): StreamEnd {
    if (this.#silent) return StreamEnd.Silent;
    if (failure === CallFailure.Aborted && !this.#foreign) {
      return StreamEnd.Aborted;
    }
    return sent ? StreamEnd.Cut : StreamEnd.NotExecuted;
  }

  #result(end: StreamEnd, message: string): StreamResult {
    return {
      end,
      events: this.#events,
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#errorBody),
      message,
    };
  }
}

/** What the end of a stream says of its backend server's health. */
export function healthVerdictOf(end: StreamEnd): CallVerdict | undefined {
  switch (end) {
    case StreamEnd.Complete:
      return CallVerdict.Good;
    case StreamEnd.BackendError:
      return CallVerdict.Error;
    case StreamEnd.Cut:
    case StreamEnd.Silent:
      return CallVerdict.Silent;
    default:
      return undefined;
  }
}
