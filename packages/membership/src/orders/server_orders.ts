/** Progress of the orders to one backend server. */
import { type OrderReply, OrderState } from "@sassafrascleat/protocol";
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  ORDER_RECHECK_MS,
  ORDER_RETRY_MAX_MS,
  ORDER_RETRY_MS,
  ORDER_SILENCE_MS,
} from "../constants.ts";

/** Where one backend server stands with its steps. */
export class ServerOrders {
  /** Index of the step that is given next. */
  step = 0;
  /** A call is on its way. */
  inFlight = false;
  #state: OrderState | undefined;
  #incarnation: string | undefined;
  #failures = 0;
  #nextAtMs = 0;
  #occupiedUntilMs = 0;

  /** Whether it may be loading, so that it takes one of the pool's loads. */
  isOccupied(nowMs: number): boolean {
    return this.inFlight || this.#state === OrderState.Running ||
      nowMs < this.#occupiedUntilMs;
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

  /** Takes over a reply, or its absence. */
  take(
    reply: OrderReply | undefined,
    stepCount: number,
    nowMs: number,
    random: Random,
  ): void {
    this.inFlight = false;
    if (!reply) return this.#lost(nowMs, random);
    const isNew = this.#incarnation !== undefined &&
      reply.incarnation !== this.#incarnation;
    this.#incarnation = reply.incarnation;
    this.#state = reply.state;
    this.#occupiedUntilMs = 0;
    if (isNew) this.step = 0;
    if (reply.state === OrderState.Done) {
      if (!isNew) this.step = Math.min(this.step + 1, stepCount);
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

  /** An order whose answer was lost may have begun to load. */
  #lost(nowMs: number, random: Random): void {
    if (this.#failures === 0) {
      this.#occupiedUntilMs = nowMs + ORDER_SILENCE_MS;
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
