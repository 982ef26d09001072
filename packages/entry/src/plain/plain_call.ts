/**
 * The life of one plain call. A call that may not be repeated is sent at most
 * once: after a lost answer the entry only asks for that answer, and sends the
 * call again only when the sidecar has proved that it never started.
 */
import type { PlainServiceConfig } from "@sassafrascleat/config";
import {
  answered,
  notRun,
  NotRunReason,
  type Outcome,
  OutcomeKind,
  type PlainAnswer,
  type PlainCallReply,
  type PlainCallRequest,
  PlainCallState,
  RefusalReason,
  type Unknown,
  unknownOutcome,
  UnknownReason,
} from "@sassafrascleat/protocol";
import {
  type AdmissionTicket,
  AttemptFailure,
  type FailureReason,
  RetryAction,
  retryDecision,
} from "@sassafrascleat/routing";
import { createLogger, jitter, sleep } from "@sassafrascleat/runtime";
import {
  ATTACH_RETRY_MS,
  ATTACH_WAIT_MS,
  LOST_ANSWER_MS,
  MAX_ATTACH_PAUSE_MS,
  PLAIN_SILENCE_MS,
} from "../constants.ts";
import { abortOutcome, type Call, type Place } from "../lifecycle/call.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import type { Lane } from "../lifecycle/lanes.ts";
import { EndReason, LinkedAbort } from "../sidecar_client/linked_abort.ts";
import type { Watchdog } from "../sidecar_client/watchdog.ts";

const log = createLogger("entry:plain");

/** The HTTP call as the service will see it. */
export interface PlainInput {
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** Makes a dispatch durable first; anything but undefined forbids it. */
export type BeforeDispatch = (
  place: Place,
) => Promise<Outcome<PlainAnswer> | undefined>;

/** What a plain call needs besides its `Call`. */
export interface PlainCallParts {
  ctx: EntryContext;
  lane: Lane;
  service: PlainServiceConfig;
  input: PlainInput;
  ticket: AdmissionTicket;
  repeatable: boolean;
  /** Runs between the grant and the dispatch. */
  beforeDispatch?: BeforeDispatch;
}

/** What a dispatched attempt came to. */
type AttemptEnd =
  | { outcome: Outcome<PlainAnswer> }
  | { failed: FailureReason; ran: Unknown | undefined };

/** The reply to a call, and whether the call's own connection brought it. */
interface Sent {
  reply: PlainCallReply | undefined;
  direct: boolean;
}

/** Runs one plain call to its outcome. */
export class PlainCall {
  readonly #call: Call;
  readonly #parts: PlainCallParts;
  readonly #ctx: EntryContext;
  #tries = 0;
  /** Set when an earlier attempt of a repeatable call may have run. */
  #ran: Unknown | undefined;

  constructor(call: Call, parts: PlainCallParts) {
    this.#call = call;
    this.#parts = parts;
    this.#ctx = parts.ctx;
  }

  async run(): Promise<Outcome<PlainAnswer>> {
    const { policy } = this.#call;
    const { budget } = this.#parts.lane;
    budget.deposit();
    while (true) {
      this.#tries += 1;
      const end = await this.#attempt();
      if ("outcome" in end) return end.outcome;
      this.#ran ??= end.ran;
      const decision = retryDecision({
        reason: end.failed,
        attempt: this.#tries,
        maxAttempts: policy.maxAttempts,
        remainingMs: this.#call.req.deadlineMs - this.#ctx.clock.now(),
        repeatable: !end.ran || this.#parts.repeatable,
      }, budget);
      if (decision.action === RetryAction.GiveUp) return this.#giveUp(end);
      await this.#prepareRetry(end.failed, decision.afterMs);
    }
  }

  async #prepareRetry(failure: FailureReason, afterMs: number): Promise<void> {
    const { requestId, attempt, service } = this.#call;
    this.#ctx.metrics.retries.inc({ service: service.name, failure });
    log("retry", { request: requestId, attempt, failure });
    await sleep(afterMs, this.#call.signal);
    this.#call.nextAttempt();
    this.#parts.ticket.giveUpAtMs = this.#call.req.deadlineMs;
  }

  async #attempt(): Promise<AttemptEnd> {
    const { lane, ticket, beforeDispatch } = this.#parts;
    const { dispatcher } = lane;
    const placed = this.#tries === 1
      ? await dispatcher.place(this.#call, ticket)
      : await dispatcher.placeAgain(this.#call, ticket);
    if (placed.kind !== OutcomeKind.Answered) {
      return { outcome: this.#ran ?? placed };
    }
    const place = placed.value;
    const stopped = await beforeDispatch?.(place);
    if (stopped || this.#call.signal.aborted) {
      lane.reserver.release(place);
      return { outcome: stopped ?? abortOutcome(this.#call.signal) };
    }
    try {
      return await this.#dispatch(place);
    } finally {
      place.lease.release();
    }
  }

  async #dispatch(place: Place): Promise<AttemptEnd> {
    const { service } = this.#parts;
    const nowMs = this.#ctx.clock.now();
    const remainingMs = this.#call.req.deadlineMs - nowMs;
    const timeoutMs = Math.max(1, Math.min(service.timeoutMs, remainingMs));
    const { reply, direct } = await this.#send(place, timeoutMs);
    if (reply && reply.state !== PlainCallState.Running) {
      return this.#read(place, reply, direct);
    }
    if (this.#signal().aborted) {
      void this.#ctx.canceller.cancel(place.client, place.ref);
      return { outcome: describe(UnknownReason.StillRunning) };
    }
    if (!reply) this.#ctx.hosts.observeFailure(place.server.name);
    return this.#recover(place, nowMs + timeoutMs + LOST_ANSWER_MS);
  }

  /**
   * Sends the call once. When its connection stays silent, another one asks
   * for the answer meanwhile, without ending a call that has not started.
   */
  async #send(place: Place, timeoutMs: number): Promise<Sent> {
    const link = new LinkedAbort(this.#signal());
    const { signal } = link;
    const sent = place.client
      .call(this.#message(place, timeoutMs), timeoutMs, signal)
      .then((reply): Sent => ({ reply, direct: true }));
    try {
      return await Promise.race([sent, this.#watch(place, signal)]);
    } finally {
      link.abort(EndReason.Done);
      link.unlink();
    }
  }

  /** Resolves only with an answer; the sent call ends the wait otherwise. */
  async #watch(place: Place, signal: AbortSignal): Promise<Sent> {
    await silence(place.client.watchdog, signal);
    let pauseMs = ATTACH_RETRY_MS;
    while (!signal.aborted) {
      const reply = await place.client.attach({
        ...place.ref,
        incarnation: place.incarnation,
        waitMs: 0,
        settle: false,
      }, signal);
      if (reply?.state === PlainCallState.Answered) {
        return { reply, direct: false };
      }
      await sleep(pauseMs, signal);
      pauseMs = Math.min(MAX_ATTACH_PAUSE_MS, pauseMs * 2);
    }
    return new Promise(() => {});
  }

  /** A call that may not be repeated goes on without its caller. */
  #signal(): AbortSignal {
    return this.#parts.repeatable ? this.#call.signal : this.#ctx.signal;
  }

  #message(place: Place, timeoutMs: number): PlainCallRequest {
    return {
      ...place.ref,
      ...this.#parts.input,
      entryId: this.#ctx.options.entryId,
      incarnation: place.incarnation,
      timeoutMs,
    };
  }

  /** Asks for a lost answer on new connections until `untilMs`. */
  async #recover(place: Place, untilMs: number): Promise<AttemptEnd> {
    let last = UnknownReason.SidecarUnreachable;
    const signal = this.#signal();
    while (this.#ctx.clock.now() < untilMs && !signal.aborted) {
      const reply = await place.client.attach({
        ...place.ref,
        incarnation: place.incarnation,
        waitMs: this.#attachWaitMs(untilMs),
        settle: true,
      }, signal);
      if (reply && reply.state !== PlainCallState.Running) {
        return this.#read(place, reply, false);
      }
      last = reply
        ? UnknownReason.StillRunning
        : UnknownReason.SidecarUnreachable;
      if (!reply) {
        await sleep(jitter(ATTACH_RETRY_MS, this.#ctx.options.random), signal);
      }
    }
    return this.#unknown(place, last);
  }

  #attachWaitMs(untilMs: number): number {
    const leftMs = untilMs - this.#ctx.clock.now();
    return Math.max(0, Math.min(ATTACH_WAIT_MS, leftMs));
  }

  /**
   * Only the incarnation that granted the place can prove that a call was not
   * run; a refusal of the one message that carried the call proves it too.
   */
  #read(place: Place, reply: PlainCallReply, direct: boolean): AttemptEnd {
    switch (reply.state) {
      case PlainCallState.Answered:
        return { outcome: answered(reply.answer) };
      case PlainCallState.NotRun: {
        const proved = direct || reply.incarnation === place.incarnation;
        if (!proved) {
          return this.#unknown(place, UnknownReason.SidecarRestarted);
        }
        this.#call.avoid.add(place.server.name);
        return { failed: transient(reply.reason), ran: undefined };
      }
      case PlainCallState.Unknown:
        return this.#unknown(place, reply.reason);
      case PlainCallState.Running:
        return this.#unknown(place, UnknownReason.StillRunning);
    }
  }

  #unknown(place: Place, reason: UnknownReason): AttemptEnd {
    this.#call.avoid.add(place.server.name);
    return { failed: AttemptFailure.Unreachable, ran: describe(reason) };
  }

  #giveUp(end: { failed: FailureReason }): Outcome<PlainAnswer> {
    if (this.#ran) return this.#ran;
    return notRun(
      NotRunReason.BackendUnavailable,
      `no backend server could run the call (${end.failed})`,
      1_000,
    );
  }
}

/** Resolves after a silence of `PLAIN_SILENCE_MS`, or on abort. */
function silence(watchdog: Watchdog, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const watch = watchdog.watch(PLAIN_SILENCE_MS, resolve);
    signal.addEventListener("abort", () => {
      watch.stop();
      resolve();
    }, { once: true });
  });
}

/** A tombstone of one attempt leaves the next one free to run. */
function transient(reason: RefusalReason): FailureReason {
  const ofAttempt = reason === RefusalReason.Tombstoned ||
    reason === RefusalReason.Superseded;
  return ofAttempt ? AttemptFailure.Unreachable : reason;
}

const DESCRIPTIONS: Record<UnknownReason, string> = {
  [UnknownReason.SidecarRestarted]:
    "the sidecar that held the call was restarted; the call may have run",
  [UnknownReason.SidecarUnreachable]:
    "the sidecar that holds the call can't be reached; the call may have run",
  [UnknownReason.BackendFailed]:
    "the backend server failed during the call; the call may have run",
  [UnknownReason.StillRunning]:
    "the call is still running; ask again with the same idempotency key",
  [UnknownReason.AnswerExpired]:
    "the call's answer is no longer kept; the call may have run",
};

/** The outcome `Unknown` with a text for the caller. */
export function describe(reason: UnknownReason): Unknown {
  return unknownOutcome(reason, DESCRIPTIONS[reason]);
}
