/** Tracks the progress of the orders to one backend server. */
import { type OrderReply, OrderState } from "@sassafrascleat/protocol";
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  ORDER_RECHECK_MS,
  ORDER_RETRY_MAX_MS,
  ORDER_RETRY_MS,
  UNANSWERED_ORDER_TIMEOUT_MS,
} from "../constants.ts";

/**
 * The current step of one backend server, the outcome of its orders and the
 * time of the next one.
 */
export class ServerOrders {
  /** Index of the step that is sent next. */
  step = 0;
  /** Whether a call is in progress. */
  inFlight = false;
  #state: OrderState | undefined;
  #incarnation: string | undefined;
  #failures = 0;
  #nextAtMs = 0;
  #assumedLoadingUntilMs = 0;

  /**
   * Whether the backend server may be loading and so counts as one of the
   * pool's concurrent loads.
   */
  mayBeLoading(nowMs: number): boolean {
    return this.inFlight || this.#state === OrderState.Running ||
      nowMs < this.#assumedLoadingUntilMs;
  }

  isDone(stepCount: number): boolean {
    return this.step >= stepCount;
  }

  get hasFailed(): boolean {
    return this.#failures > 0;
  }

  isDue(nowMs: number): boolean {
    return !this.inFlight && nowMs >= this.#nextAtMs;
  }

  /** Records a reply; undefined if none arrived. */
  recordReply(
    reply: OrderReply | undefined,
    stepCount: number,
    nowMs: number,
    random: Random,
  ): void {
    this.inFlight = false;
    if (!reply) return this.#recordLostReply(nowMs, random);
    const isNewIncarnation = this.#incarnation !== undefined &&
      reply.incarnation !== this.#incarnation;
    this.#incarnation = reply.incarnation;
    this.#state = reply.state;
    this.#assumedLoadingUntilMs = 0;
    if (isNewIncarnation) this.step = 0;
    if (reply.state === OrderState.Done) {
      if (!isNewIncarnation) this.step = Math.min(this.step + 1, stepCount);
      this.#failures = 0;
      const done = this.isDone(stepCount);
      this.#nextAtMs = done ? nowMs + jitter(ORDER_RECHECK_MS, random) : nowMs;
    } else if (reply.state === OrderState.Running) {
      this.#failures = 0;
      this.#nextAtMs = nowMs;
    } else {
      this.#retryLater(nowMs, random);
    }
  }

  /**
   * Counts the backend server as loading for a time: an order whose answer was
   * lost may have started a load.
   */
  #recordLostReply(nowMs: number, random: Random): void {
    if (this.#failures === 0) {
      this.#assumedLoadingUntilMs = nowMs + UNANSWERED_ORDER_TIMEOUT_MS;
    }
    this.#state = undefined;
    this.#retryLater(nowMs, random);
  }

  #retryLater(nowMs: number, random: Random): void {
    const backoffMs = Math.min(
      ORDER_RETRY_MS * 2 ** this.#failures,
      ORDER_RETRY_MAX_MS,
    );
    this.#failures += 1;
    this.#nextAtMs = nowMs + jitter(backoffMs, random);
  }
}
