/**
 * Runs one plain call with its retries. A call that may not be repeated runs at
 * most once: after a lost answer the entry only requests that answer, and sends
 * the call again only if the sidecar has proved that it never started.
 */
import {
  notRun,
  NotRunReason,
  type Outcome,
  OutcomeKind,
  type PlainAnswer,
  type Unknown,
} from "@sassafrascleat/protocol";
import {
  type FailureReason,
  RetryAction,
  retryDecision,
} from "@sassafrascleat/routing";
import { createLogger, sleep } from "@sassafrascleat/runtime";
import { abortOutcome, type Call } from "../lifecycle/call.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import { type AttemptEnd, PlainDispatch } from "./plain_dispatch.ts";
import type { PlainCallParts } from "./plain_parts.ts";

const log = createLogger("entry:plain");

/** Runs one plain call until it has an outcome. */
export class PlainCall {
  readonly #call: Call;
  readonly #parts: PlainCallParts;
  readonly #ctx: EntryContext;
  readonly #dispatch: PlainDispatch;
  #tries = 0;
  /** Outcome of the first attempt that may have run, if any. */
  #unknownOutcome: Unknown | undefined;

  constructor(call: Call, parts: PlainCallParts) {
    this.#call = call;
    this.#parts = parts;
    this.#ctx = parts.ctx;
    this.#dispatch = new PlainDispatch(call, parts);
  }

  async run(): Promise<Outcome<PlainAnswer>> {
    const { policy } = this.#call;
    const { budget } = this.#parts.lane;
    budget.deposit();
    while (true) {
      this.#tries += 1;
      const end = await this.#attempt();
      if ("outcome" in end) return end.outcome;
      this.#unknownOutcome ??= end.unknown;
      const decision = retryDecision({
        reason: end.failed,
        attempt: this.#tries,
        maxAttempts: policy.maxAttempts,
        remainingMs: this.#call.req.deadlineMs - this.#ctx.clock.now(),
        repeatable: !end.unknown || this.#parts.repeatable,
      }, budget);
      if (decision.action === RetryAction.GiveUp) {
        return this.#retriesExhausted(end);
      }
      await this.#prepareRetry(end.failed, decision.delayMs);
    }
  }

  async #prepareRetry(failure: FailureReason, delayMs: number): Promise<void> {
    const { requestId, attempt, service } = this.#call;
    this.#ctx.metrics.retries.inc({ service: service.name, failure });
    log("retry", { request: requestId, attempt, failure });
    await sleep(delayMs, this.#call.signal);
    this.#call.nextAttempt();
    this.#parts.ticket.queueDeadlineMs = this.#call.req.deadlineMs;
  }

  async #attempt(): Promise<AttemptEnd> {
    const { lane, ticket, beforeDispatch } = this.#parts;
    const { dispatcher } = lane;
    const placed = this.#tries === 1
      ? await dispatcher.place(this.#call, ticket)
      : await dispatcher.placeAgain(this.#call, ticket);
    if (placed.kind !== OutcomeKind.Answered) {
      return { outcome: this.#unknownOutcome ?? placed };
    }
    const place = placed.value;
    const forbidden = await beforeDispatch?.(place);
    if (forbidden || this.#call.signal.aborted) {
      lane.reserver.release(place);
      return { outcome: forbidden ?? abortOutcome(this.#call.signal) };
    }
    try {
      return await this.#dispatch.run(place);
    } finally {
      place.lease.release();
    }
  }

  #retriesExhausted(end: { failed: FailureReason }): Outcome<PlainAnswer> {
    if (this.#unknownOutcome) return this.#unknownOutcome;
    return notRun(
      NotRunReason.BackendUnavailable,
      `no backend server could run the call (${end.failed})`,
      1_000,
    );
  }
}
