/**
 * Handles one request to a plain service, that is, one without model engines:
 * sends it to backend servers, retries and hedges it as far as its route allows,
 * and forwards the first success.
 */
import { childAbortController } from "@sassafrascleat/runtime";
import { RouteKind } from "../config/routing_table.ts";
import {
  hedgeDelayMs,
  mayHedge,
  mayRetry,
  type RepeatRules,
} from "../decide/plain_repeats.ts";
import { ExchangeOutcome } from "../http/exchange.ts";
import type { PlainCallResult } from "./plain_call.ts";
import { PlainFinisher } from "./plain_outcome.ts";
import { PlainSends } from "./plain_sends.ts";
import { ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  type RunContext,
  type RunOutcome,
} from "./run_context.ts";

/** Handles one plain request until it has an outcome. */
export function runPlain(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  return new PlainRun(ctx, req).run();
}

class PlainRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #rules: RepeatRules;
  readonly #controller: AbortController;
  readonly #sends: PlainSends;
  readonly #finisher: PlainFinisher;

  constructor(ctx: RunContext, req: CallerRequest) {
    const { kind, maxAttempts } = req.route;
    this.#ctx = ctx;
    this.#req = req;
    this.#rules = { isSafe: kind === RouteKind.Safe, maxAttempts };
    this.#controller = childAbortController(ctx.exitSignal);
    this.#sends = new PlainSends(ctx, req, this.#controller.signal);
    this.#finisher = new PlainFinisher(ctx, req, this.#sends);
  }

  async run(): Promise<RunOutcome> {
    const { signal } = this.#req;
    const onCallerGone = () => this.#controller.abort();
    signal.addEventListener("abort", onCallerGone, { once: true });
    if (signal.aborted) onCallerGone();
    try {
      return await this.#serve();
    } finally {
      signal.removeEventListener("abort", onCallerGone);
      this.#controller.abort();
    }
  }

  async #serve(): Promise<RunOutcome> {
    this.#ctx.retryBudgetOf(this.#req.service.name).countRequest();
    if (!this.#sends.send("first")) return this.#finisher.rejectUnsent();
    while (this.#sends.pending.length > 0) {
      const result = await this.#nextResult();
      if (!result) continue;
      if (this.#req.signal.aborted) return this.#finisher.callerGone();
      const outcome = this.#handleResult(result);
      if (outcome) return outcome;
    }
    return this.#finisher.failed();
  }

  /** Waits for the next result; undefined if the hedge delay passed first. */
  async #nextResult(): Promise<PlainCallResult | undefined> {
    const calls = this.#sends.pending;
    if (!this.#mayHedge()) return await Promise.race(calls);
    const { targetLatencyMs } = this.#req.route;
    const delayMs = hedgeDelayMs(targetLatencyMs, ageMs(this.#ctx, this.#req));
    let timer: ReturnType<typeof setTimeout> | undefined;
    const hedgeTimeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), delayMs);
    });
    const result = await Promise.race([...calls, hedgeTimeout]);
    clearTimeout(timer);
    if (result) return result;
    this.#sends.hedged = true;
    this.#sends.send("slow");
    return undefined;
  }

  #mayHedge(): boolean {
    return mayHedge(this.#sends, this.#rules) &&
      this.#ctx.retryBudgetOf(this.#req.service.name).available >= 1 &&
      this.#sends.pickCandidate() !== undefined;
  }

  /** Handles one result; returns the outcome when the request is finished. */
  #handleResult(result: PlainCallResult): RunOutcome | undefined {
    const { exchange, verdict } = result;
    if (
      exchange.end === ExchangeOutcome.Answered && verdict === ReplyVerdict.Good
    ) return this.#finisher.answered(result, exchange);
    if (isUnexecuted(result)) this.#sends.recordUnexecuted();
    this.#finisher.recordFailure(result);
    this.#logFailure(result);
    if (this.#mayRetry()) this.#sends.send(verdict ?? "no_answer");
    return undefined;
  }

  #mayRetry(): boolean {
    return !this.#controller.signal.aborted &&
      mayRetry(this.#sends, this.#rules);
  }

  #logFailure({ backend, exchange, verdict }: PlainCallResult): void {
    this.#ctx.log("plain_call_failed", {
      req: this.#req.metadata.requestId,
      backend: backend.id,
      verdict: verdict ?? "no_answer",
      ...(exchange.end === ExchangeOutcome.Answered
        ? { status: exchange.status }
        : { failure: exchange.failure, sent: exchange.sent }),
      elapsed_ms: Math.round(exchange.elapsedMs),
    });
  }
}

/** Whether it is proved that the call did not run the request. */
function isUnexecuted({ exchange, verdict }: PlainCallResult): boolean {
  return exchange.end === ExchangeOutcome.Failed
    ? !exchange.sent
    : verdict === ReplyVerdict.NotExecuted;
}
