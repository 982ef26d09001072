/**
 * Dispatches a plain call for a granted slot. The call itself is sent once; if
 * its answer is lost, only requests for that answer follow. A `NotRun` reply is
 * accepted only if it proves that the call did not run.
 */
import {
  answered,
  type Outcome,
  type PlainAnswer,
  type PlainCallReply,
  type PlainCallRequest,
  PlainCallState,
  RefusalReason,
  type Unknown,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { AttemptFailure, type FailureReason } from "@sassafrascleat/routing";
import { jitter, sleep } from "@sassafrascleat/runtime";
import {
  ATTACH_RETRY_MS,
  ATTACH_WAIT_MS,
  LOST_ANSWER_TIMEOUT_MS,
  MAX_ATTACH_PAUSE_MS,
  PLAIN_SILENCE_MS,
} from "../constants.ts";
import type { Call, GrantedSlot } from "../lifecycle/call.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import {
  LinkAbortReason,
  LinkedAbortController,
} from "../sidecar_client/linked_abort.ts";
import type { Watchdog } from "../sidecar_client/watchdog.ts";
import type { PlainCallParts } from "./plain_parts.ts";
import { unknownOutcomeFor } from "./unknown_outcome.ts";

/** Result of a dispatched attempt; `unknown` is set if it may have run. */
export type AttemptEnd =
  | { outcome: Outcome<PlainAnswer> }
  | { failed: FailureReason; unknown: Unknown | undefined };

/** The reply to a call, and whether it arrived on the call's own connection. */
interface CallReply {
  reply: PlainCallReply | undefined;
  direct: boolean;
}

/** Dispatches the attempts of one call. */
export class PlainDispatch {
  readonly #call: Call;
  readonly #parts: PlainCallParts;
  readonly #ctx: EntryContext;

  constructor(call: Call, parts: PlainCallParts) {
    this.#call = call;
    this.#parts = parts;
    this.#ctx = parts.ctx;
  }

  /** Sends the call for a granted slot and determines its result. */
  async run(place: GrantedSlot): Promise<AttemptEnd> {
    const { service } = this.#parts;
    const nowMs = this.#ctx.clock.now();
    const remainingMs = this.#call.req.deadlineMs - nowMs;
    const timeoutMs = Math.max(1, Math.min(service.timeoutMs, remainingMs));
    const { reply, direct } = await this.#send(place, timeoutMs);
    if (reply && reply.state !== PlainCallState.Running) {
      return this.#handleReply(place, reply, direct);
    }
    if (this.#signal().aborted) {
      void this.#ctx.canceller.cancel(place.client, place.ref);
      return { outcome: unknownOutcomeFor(UnknownReason.StillRunning) };
    }
    if (!reply) this.#ctx.hosts.observeFailure(place.server.name);
    return this.#recoverAnswer(
      place,
      nowMs + timeoutMs + LOST_ANSWER_TIMEOUT_MS,
    );
  }

  /**
   * Sends the call once. If nothing arrives on its connection, polls for the
   * answer over another one meanwhile, without settling a call that has not
   * started.
   */
  async #send(place: GrantedSlot, timeoutMs: number): Promise<CallReply> {
    const callAbort = new LinkedAbortController(this.#signal());
    const pollAbort = new LinkedAbortController(this.#signal());
    const message = this.#message(place, timeoutMs);
    const sent = place.client.call(message, timeoutMs, callAbort.signal)
      .then((reply): CallReply => ({ reply, direct: true }));
    const polled = this.#pollForAnswer(place, pollAbort.signal);
    const first = await Promise.race([sent, polled]);
    pollAbort.abort(LinkAbortReason.Done);
    if (!first.direct) callAbort.abort(LinkAbortReason.Done);
    callAbort.unlink();
    pollAbort.unlink();
    return first;
  }

  /**
   * Polls for the call's answer. Resolves only with an answer; otherwise the
   * reply on the call's own connection decides.
   */
  async #pollForAnswer(
    place: GrantedSlot,
    signal: AbortSignal,
  ): Promise<CallReply> {
    await waitForSilence(place.client.watchdog, signal);
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

  /** A call that may not be repeated continues after its caller disconnects. */
  #signal(): AbortSignal {
    return this.#parts.repeatable ? this.#call.signal : this.#ctx.signal;
  }

  #message(place: GrantedSlot, timeoutMs: number): PlainCallRequest {
    return {
      ...place.ref,
      ...this.#parts.httpRequest,
      entryId: this.#ctx.options.entryId,
      incarnation: place.incarnation,
      timeoutMs,
    };
  }

  /** Requests a lost answer on new connections until `untilMs`. */
  async #recoverAnswer(
    place: GrantedSlot,
    untilMs: number,
  ): Promise<AttemptEnd> {
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
        return this.#handleReply(place, reply, false);
      }
      last = reply
        ? UnknownReason.StillRunning
        : UnknownReason.SidecarUnreachable;
      if (!reply) {
        await sleep(jitter(ATTACH_RETRY_MS, this.#ctx.options.random), signal);
      }
    }
    return this.#endAsUnknown(place, last);
  }

  #attachWaitMs(untilMs: number): number {
    const leftMs = untilMs - this.#ctx.clock.now();
    return Math.max(0, Math.min(ATTACH_WAIT_MS, leftMs));
  }

  /**
   * Converts a reply to a result. `NotRun` proves that the call did not run if
   * it comes from the sidecar incarnation that granted the slot, or if it
   * refuses the one message that carried the call.
   */
  #handleReply(
    place: GrantedSlot,
    reply: PlainCallReply,
    direct: boolean,
  ): AttemptEnd {
    switch (reply.state) {
      case PlainCallState.Answered:
        return { outcome: answered(reply.answer) };
      case PlainCallState.NotRun: {
        const proved = direct || reply.incarnation === place.incarnation;
        if (!proved) {
          return this.#endAsUnknown(place, UnknownReason.SidecarRestarted);
        }
        this.#call.excludedServers.add(place.server.name);
        return { failed: toRetryable(reply.reason), unknown: undefined };
      }
      case PlainCallState.Unknown:
        return this.#endAsUnknown(place, reply.reason);
      case PlainCallState.Running:
        return this.#endAsUnknown(place, UnknownReason.StillRunning);
    }
  }

  #endAsUnknown(place: GrantedSlot, reason: UnknownReason): AttemptEnd {
    this.#call.excludedServers.add(place.server.name);
    return {
      failed: AttemptFailure.Unreachable,
      unknown: unknownOutcomeFor(reason),
    };
  }
}

/** Resolves after `PLAIN_SILENCE_MS` without a reply, or on abort. */
function waitForSilence(
  watchdog: Watchdog,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const watch = watchdog.watch(PLAIN_SILENCE_MS, resolve);
    signal.addEventListener("abort", () => {
      watch.stop();
      resolve();
    }, { once: true });
  });
}

/** Refusals that concern only one attempt allow the next one to run. */
function toRetryable(reason: RefusalReason): FailureReason {
  const affectsOneAttempt = reason === RefusalReason.Tombstoned ||
    reason === RefusalReason.Superseded;
  return affectsOneAttempt ? AttemptFailure.Unreachable : reason;
}
