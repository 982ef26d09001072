/**
 * Orders to the engine, fenced here because some engines ignore the fencing
 * number: an older order is refused, an equal one is idempotent. One order at
 * a time is on its way, so that two can't overtake each other.
 */
import type { Engine } from "@sassafrascleat/engine";
import {
  CONTROL_TIMEOUT_MS,
  type OrderReply,
  type OrderRequest,
  OrderState,
} from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import { settleWithin } from "./settle_within.ts";

const log = createLogger("sidecar:order");

/** Checks and forwards orders. */
export class OrderGuard {
  readonly #engine: Engine | undefined;
  readonly #incarnation: string;
  readonly #onDone: (req: OrderRequest) => void;
  #fencingNumber = 0;
  #last: OrderReply | undefined;
  #lastRequest: OrderRequest | undefined;
  #chain: Promise<void> = Promise.resolve();

  /** `onDone` is told of each order that the engine has followed. */
  constructor(
    engine: Engine | undefined,
    incarnation: string,
    onDone: (req: OrderRequest) => void,
  ) {
    this.#engine = engine;
    this.#incarnation = incarnation;
    this.#onDone = onDone;
  }

  /** The state of the newest order. */
  get last(): OrderReply | undefined {
    return this.#last;
  }

  /** Forwards an order; replies `Running` when the engine takes its time. */
  async order(req: OrderRequest): Promise<OrderReply> {
    if (!this.#engine) {
      return this.#reply(OrderState.Refused, "no engine takes orders here");
    }
    if (req.fencingNumber < this.#fencingNumber) {
      return this.#reply(OrderState.Refused, "a newer order was seen");
    }
    if (req.fencingNumber === this.#fencingNumber) {
      const refused = this.#repeat(req);
      if (refused) return refused;
    }
    this.#fencingNumber = req.fencingNumber;
    this.#lastRequest = req;
    this.#last = this.#reply(OrderState.Running, "sent to the engine");
    this.#chain = this.#chain.then(() => this.#forward(req));
    await settleWithin(this.#chain, CONTROL_TIMEOUT_MS);
    return this.#last;
  }

  /** The reply to a repeat; undefined when a failed order is tried again. */
  #repeat(req: OrderRequest): OrderReply | undefined {
    const known = this.#lastRequest;
    const same = known?.kind === req.kind && known.target === req.target &&
      known.version === req.version;
    if (!same) {
      return this.#reply(
        OrderState.Refused,
        "another order has this fencing number",
      );
    }
    return this.#last?.state === OrderState.Failed ? undefined : this.#last;
  }

  async #forward(req: OrderRequest): Promise<void> {
    if (req.fencingNumber < this.#fencingNumber) return;
    const accepted = await this.#engine?.order(req) ?? false;
    log("order_ended", {
      fencing: req.fencingNumber,
      kind: req.kind,
      accepted,
    });
    if (accepted) this.#onDone(req);
    if (req.fencingNumber < this.#fencingNumber) return;
    this.#last = accepted
      ? this.#reply(OrderState.Done, "followed by the engine")
      : this.#reply(OrderState.Failed, "the engine did not accept the order");
  }

  #reply(state: OrderState, message: string): OrderReply {
    return {
      incarnation: this.#incarnation,
      state,
      fencingNumber: this.#fencingNumber,
      message,
    };
  }
}
