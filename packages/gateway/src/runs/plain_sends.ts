/**
 * The sends of one plain request, each to another backend server. All but the
 * first one count against the retry budget.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { SendCounts } from "../decide/plain_repeats.ts";
import { pickPlainBackend } from "../decide/plain_placement.ts";
import { callPlainBackend, type PlainCallResult } from "./plain_call.ts";
import { checkRateLimits } from "./rate_limit_check.ts";
import {
  type CallerRequest,
  quarantineMs,
  remainingMs,
  type RunContext,
  tryAcquireRetry,
} from "./run_context.ts";

/** Minimum time until the deadline for a call to be sent, in milliseconds. */
export const MIN_REMAINING_MS = 5;

/** Sends one request, and counts what has become of its sends. */
export class PlainSends implements SendCounts {
  possibleExecutions = 0;
  unexecuted = 0;
  hedged = false;
  /** Number of sends. */
  total = 0;
  /** The last backend server that the request was sent to. */
  lastBackendId: string | undefined;
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #signal: AbortSignal;
  readonly #tried = new Set<string>();
  readonly #pending = new Set<Promise<PlainCallResult>>();

  constructor(ctx: RunContext, req: CallerRequest, signal: AbortSignal) {
    this.#ctx = ctx;
    this.#req = req;
    this.#signal = signal;
  }

  /** The sends without a result. */
  get pending(): readonly Promise<PlainCallResult>[] {
    return [...this.#pending];
  }

  /** Picks a backend server that the request was not sent to. */
  pickCandidate(): Backend | undefined {
    const ctx = this.#ctx;
    const backends = ctx.directory.ready(this.#req.service.name);
    checkRateLimits(ctx, backends);
    return pickPlainBackend(backends, ctx, this.#tried);
  }

  /** Sends the request to another backend server; false if that isn't possible. */
  send(cause: string): boolean {
    const backend = this.pickCandidate();
    if (!backend || !this.#maySend(cause)) return false;
    this.#count(backend);
    this.#log(cause, backend);
    const call = callPlainBackend(this.#ctx, this.#req, backend, this.#signal)
      .then((result) => {
        this.#pending.delete(call);
        return result;
      });
    this.#pending.add(call);
    return true;
  }

  /** Records the proof that one of the sends did not run the request. */
  recordUnexecuted(): void {
    this.possibleExecutions -= 1;
    this.unexecuted += 1;
  }

  #maySend(cause: string): boolean {
    const ctx = this.#ctx;
    if (quarantineMs(ctx, this.#req) > 0) return false;
    if (remainingMs(ctx, this.#req) < MIN_REMAINING_MS) return false;
    return this.total === 0 || tryAcquireRetry(ctx, this.#req, cause);
  }

  #count(backend: Backend): void {
    const key = incarnationOf(backend);
    this.total += 1;
    this.possibleExecutions += 1;
    this.lastBackendId = backend.id;
    this.#tried.add(key);
    this.#ctx.rateLimits.charge(key);
  }

  #log(cause: string, backend: Backend): void {
    const ctx = this.#ctx;
    const key = incarnationOf(backend);
    ctx.log("plain_send", {
      req: this.#req.metadata.requestId,
      cause,
      backend: backend.id,
      in_progress: ctx.inProgress.get(key) ?? 0,
      latency_ms: Math.round(ctx.health.recordOf(key).latencyMs),
      remaining_ms: Math.round(remainingMs(ctx, this.#req)),
      config: this.#req.configVersion,
    });
  }
}
