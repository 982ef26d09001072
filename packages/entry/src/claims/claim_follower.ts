/**
 * Finds the outcome of a call that another request has claimed. Only the
 * sidecar incarnation named in the claim can prove that the call never ran, and
 * only while its ledger is certain to still have a record of the call.
 */
import {
  answered,
  type Outcome,
  type PlainAnswer,
  type PlainCallReply,
  PlainCallState,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { type Clock, jitter, sleep } from "@sassafrascleat/runtime";
import {
  ATTACH_RETRY_MS,
  ATTACH_WAIT_MS,
  LOST_ANSWER_TIMEOUT_MS,
} from "../constants.ts";
import { abortOutcome, type Call } from "../lifecycle/call.ts";
import type { PlainCallParts } from "../plain/plain_parts.ts";
import { unknownOutcomeFor } from "../plain/unknown_outcome.ts";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import { type ClaimRecord, holderOf } from "./claim_record.ts";
import {
  FOLLOW_PAUSE_MS,
  MAX_CLOCK_SKEW_MS,
  MAX_PROVABLE_AGE_MS,
  SETTLE_AFTER_MS,
} from "./constants.ts";

/** The outcome of the claimed call, or `neverRan` if that is proven. */
export type FollowResult =
  | { neverRan: true }
  | { neverRan: false; outcome: Outcome<PlainAnswer> };

/** Polls the sidecar named in a claim until it reports the outcome. */
export class ClaimFollower {
  readonly #parts: PlainCallParts;
  readonly #wallClock: Clock;

  constructor(parts: PlainCallParts, wallClock: Clock) {
    this.#parts = parts;
    this.#wallClock = wallClock;
  }

  async follow(record: ClaimRecord, call: Call): Promise<FollowResult> {
    if (record.answer) return done(answered(record.answer));
    const { ctx } = this.#parts;
    const host = ctx.hosts.find(record.sidecar);
    if (!host) return done(unknownOutcomeFor(UnknownReason.SidecarUnreachable));
    return this.#poll(
      record,
      call,
      ctx.sidecarClients.get(host.sidecarAddress),
    );
  }

  async #poll(
    record: ClaimRecord,
    call: Call,
    client: SidecarClient,
  ): Promise<FollowResult> {
    const { clock } = this.#parts.ctx;
    const startedAtMs = clock.now();
    const deadlineMs = startedAtMs + this.#parts.service.timeoutMs +
      LOST_ANSWER_TIMEOUT_MS;
    let lastReason = UnknownReason.SidecarUnreachable;
    while (clock.now() < deadlineMs && !call.signal.aborted) {
      const settle = this.#maySettle(record, startedAtMs);
      const reply = await client.attach({
        ...holderOf(record),
        incarnation: record.incarnation,
        waitMs: Math.min(ATTACH_WAIT_MS, deadlineMs - clock.now()),
        settle,
      }, call.signal);
      const result = reply && this.#interpretReply(record, reply);
      if (result) return result;
      lastReason = reply ? UnknownReason.StillRunning : lastReason;
      await this.#pause(reply, call.signal);
    }
    if (call.signal.aborted) return done(abortOutcome(call.signal));
    return done(unknownOutcomeFor(lastReason));
  }

  async #pause(
    reply: PlainCallReply | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const pauseMs = reply ? FOLLOW_PAUSE_MS : ATTACH_RETRY_MS;
    await sleep(jitter(pauseMs, this.#parts.ctx.options.random), signal);
  }

  /**
   * Whether the sidecar may write a tombstone for a call that has not started.
   * The holder of the claim first gets `SETTLE_AFTER_MS` to send its call.
   */
  #maySettle(record: ClaimRecord, sinceMs: number): boolean {
    const waitedMs = this.#parts.ctx.clock.now() - sinceMs;
    return waitedMs >= SETTLE_AFTER_MS && this.#isProvable(record);
  }

  /**
   * Whether the sidecar's ledger can prove that the call did not run. For an
   * older claim the record may have been dropped, so its absence proves nothing.
   */
  #isProvable(record: ClaimRecord): boolean {
    const ageMs = this.#wallClock.now() - record.claimedAtMs;
    return ageMs < MAX_PROVABLE_AGE_MS && ageMs > -MAX_CLOCK_SKEW_MS;
  }

  #interpretReply(
    record: ClaimRecord,
    reply: PlainCallReply,
  ): FollowResult | undefined {
    if (reply.state === PlainCallState.Answered) {
      return done(answered(reply.answer));
    }
    if (reply.incarnation !== record.incarnation) {
      return done(unknownOutcomeFor(UnknownReason.SidecarRestarted));
    }
    switch (reply.state) {
      case PlainCallState.NotRun:
        if (this.#isProvable(record)) return { neverRan: true };
        return done(unknownOutcomeFor(UnknownReason.AnswerExpired));
      case PlainCallState.Unknown:
        return done(unknownOutcomeFor(reply.reason));
      case PlainCallState.Running:
        if (this.#isProvable(record)) return undefined;
        return done(unknownOutcomeFor(UnknownReason.AnswerExpired));
    }
  }
}

/** The result of following a call that has an outcome. */
function done(outcome: Outcome<PlainAnswer>): FollowResult {
  return { neverRan: false, outcome };
}
