/**
 * Applies the limits for callers that read slowly to one stream: pauses and
 * resumes the response of the backend server, and ends the stream.
 */
import {
  type OutputState,
  ReadAction,
  SlowReader,
} from "../decide/slow_reader.ts";
import type { ResponseFlowControl } from "../http/upstream_call.ts";
import type { StreamProgress } from "./generation.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";

/** Part of the memory for peers above which no response is read ahead. */
const MEMORY_SHORT_SHARE = 0.5;

/** Watches how the caller reads a stream from one backend server. */
export class ReaderWatch {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #progress: StreamProgress;
  readonly #reader: SlowReader;
  readonly #flow: ResponseFlowControl;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #awaitsProgress = false;
  #paused = false;
  #closed = false;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    progress: StreamProgress,
    flow: ResponseFlowControl,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#progress = progress;
    this.#flow = flow;
    this.#reader = new SlowReader({ clock: ctx.clock });
  }

  /** Called when the caller's connection hasn't accepted all bytes at once. */
  onUnread(): void {
    if (this.#closed) return;
    this.#apply(this.#reader.afterWrite(this.#state()));
    this.#awaitProgress();
  }

  /** Stops watching; the response has ended. */
  close(): void {
    this.#closed = true;
    this.#stopTimer();
  }

  #awaitProgress(): void {
    if (this.#awaitsProgress || this.#closed) return;
    this.#awaitsProgress = true;
    this.#req.responder.onceProgress(() => {
      this.#awaitsProgress = false;
      if (this.#closed) return;
      this.#apply(this.#reader.afterProgress(this.#state()));
      if (this.#req.responder.waitingBytes > 0) this.#awaitProgress();
    });
  }

  #state(): OutputState {
    const { waitingBytes, blocked } = this.#req.responder;
    const { usedShare } = this.#ctx.upstream.memory;
    const memoryShort = usedShare > MEMORY_SHORT_SHARE;
    return { waitingBytes, blocked, memoryShort };
  }

  #apply(action: ReadAction): void {
    switch (action) {
      case ReadAction.Read:
        return this.#resume();
      case ReadAction.Pause:
        return this.#pause();
      default:
        return this.#end(action);
    }
  }

  #pause(): void {
    if (!this.#paused) this.#flow.pause();
    this.#paused = true;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#apply(this.#reader.afterPause(this.#state()));
    }, this.#reader.pauseLeftMs);
  }

  #resume(): void {
    this.#stopTimer();
    if (!this.#paused) return;
    this.#paused = false;
    this.#flow.resume();
  }

  #stopTimer(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Ends the stream; the abort of the request's signal ends the server's. */
  #end(cause: ReadAction): void {
    this.close();
    const { log, metrics } = this.#ctx;
    const { responder, metadata } = this.#req;
    log("slow_reader", {
      req: metadata.requestId,
      cause,
      waiting_bytes: responder.waitingBytes,
      events: this.#progress.events,
    });
    metrics.slowReaders.inc({ cause });
    this.#progress.slowReader = true;
    responder.destroy();
  }
}
