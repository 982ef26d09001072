/**
 * Finds out what became of a call that another request has claimed. Only the
 * sidecar incarnation named in the claim can prove that the call never ran,
 * and only while its ledger surely still knows the call.
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
  LOST_ANSWER_MS,
} from "../constants.ts";
import { abortOutcome, type Call } from "../lifecycle/call.ts";
import type { PlainCallParts } from "../plain/plain_parts.ts";
import { describe } from "../plain/unknown_outcome.ts";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import { type ClaimRecord, holderOf } from "./claim_record.ts";
import {
  FOLLOW_PAUSE_MS,
  MAX_CLOCK_SKEW_MS,
  PROVABLE_AGE_MS,
  SETTLE_AFTER_MS,
} from "./constants.ts";

/** The outcome of the claimed call, or the proof that it never ran. */
export type FollowEnd =
  | { free: true }
  | { free: false; outcome: Outcome<PlainAnswer> };

/** Asks a claim's sidecar until it knows. */
export class ClaimFollower {
  readonly #parts: PlainCallParts;
  readonly #wallClock: Clock;

  constructor(parts: PlainCallParts, wallClock: Clock) {
    this.#parts = parts;
    this.#wallClock = wallClock;
  }

  async follow(record: ClaimRecord, call: Call): Promise<FollowEnd> {
    if (record.answer) return ended(answered(record.answer));
    const { ctx } = this.#parts;
    const server = ctx.hosts.find(record.sidecar);
    if (!server) return ended(describe(UnknownReason.SidecarUnreachable));
    return this.#ask(record, call, ctx.clients.at(server.sidecarAddress));
  }

  async #ask(
    record: ClaimRecord,
    call: Call,
    client: SidecarClient,
  ): Promise<FollowEnd> {
    const { clock } = this.#parts.ctx;
    const startedAtMs = clock.now();
    const untilMs = startedAtMs + this.#parts.service.timeoutMs +
      LOST_ANSWER_MS;
    let last = UnknownReason.SidecarUnreachable;
    while (clock.now() < untilMs && !call.signal.aborted) {
      const settle = this.#maySettle(record, startedAtMs);
      const reply = await client.attach({
        ...holderOf(record),
        incarnation: record.incarnation,
        waitMs: Math.min(ATTACH_WAIT_MS, untilMs - clock.now()),
        settle,
      }, call.signal);
      const end = reply && this.#read(record, reply);
      if (end) return end;
      last = reply ? UnknownReason.StillRunning : last;
      await this.#pause(reply, call.signal);
    }
    if (call.signal.aborted) return ended(abortOutcome(call.signal));
    return ended(describe(last));
  }

  async #pause(
    reply: PlainCallReply | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const pauseMs = reply ? FOLLOW_PAUSE_MS : ATTACH_RETRY_MS;
    await sleep(jitter(pauseMs, this.#parts.ctx.options.random), signal);
  }

  /** The holder gets some time to send its call before a tombstone ends it. */
  #maySettle(record: ClaimRecord, sinceMs: number): boolean {
    const waitedMs = this.#parts.ctx.clock.now() - sinceMs;
    return waitedMs >= SETTLE_AFTER_MS && this.#isProvable(record);
  }

  /** Beyond this age a ledger that does not know the call proves nothing. */
  #isProvable(record: ClaimRecord): boolean {
    const ageMs = this.#wallClock.now() - record.claimedAtMs;
    return ageMs < PROVABLE_AGE_MS && ageMs > -MAX_CLOCK_SKEW_MS;
  }

  #read(record: ClaimRecord, reply: PlainCallReply): FollowEnd | undefined {
    if (reply.state === PlainCallState.Answered) {
      return ended(answered(reply.answer));
    }
    if (reply.incarnation !== record.incarnation) {
      return ended(describe(UnknownReason.SidecarRestarted));
    }
    switch (reply.state) {
      case PlainCallState.NotRun:
        if (this.#isProvable(record)) return { free: true };
        return ended(describe(UnknownReason.AnswerExpired));
      case PlainCallState.Unknown:
        return ended(describe(reply.reason));
      case PlainCallState.Running:
        if (this.#isProvable(record)) return undefined;
        return ended(describe(UnknownReason.AnswerExpired));
    }
  }
}

function ended(outcome: Outcome<PlainAnswer>): FollowEnd {
  return { free: false, outcome };
}
