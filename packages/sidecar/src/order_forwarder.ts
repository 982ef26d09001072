/**
 * Forwards orders to the engine and enforces their fencing numbers, because
 * some engines ignore them: an order with a lower number is refused, and
 * repeating one with the current number is idempotent. One configuration change
 * may cause several orders (a role, a model, adapters), which share its number.
 * Orders are sent to the engine one at a time, so that they can't overtake each
 * other.
 */
import type { Engine } from "@sassafrascleat/engine";
import {
  CONTROL_TIMEOUT_MS,
  OrderKind,
  type OrderReply,
  type OrderRequest,
  OrderState,
} from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import { settleWithin } from "./settle_within.ts";

const log = createLogger("sidecar:order");

interface KnownOrder {
  req: OrderRequest;
  reply: OrderReply;
}

/**
 * Returns the key of what an order sets: each adapter separately, otherwise the
 * kind.
 */
function orderSubject({ kind, target }: OrderRequest): string {
  return kind === OrderKind.LoadAdapter ? `${kind} ${target}` : kind;
}

/** Checks the fencing numbers of orders and forwards them. */
export class OrderForwarder {
  readonly #engine: Engine | undefined;
  readonly #incarnation: string;
  readonly #onDone: (req: OrderRequest) => void;
  #fencingNumber = 0;
  #last: OrderReply | undefined;
  /** Orders with the current fencing number, by what they set. */
  readonly #orders = new Map<string, KnownOrder>();
  #lastForward: Promise<void> = Promise.resolve();

  /** @param onDone Called with each order that the engine has accepted. */
  constructor(
    engine: Engine | undefined,
    incarnation: string,
    onDone: (req: OrderRequest) => void,
  ) {
    this.#engine = engine;
    this.#incarnation = incarnation;
    this.#onDone = onDone;
  }

  /** The reply to the newest order. */
  get last(): OrderReply | undefined {
    return this.#last;
  }

  /**
   * Forwards an order; replies `Running` if the engine doesn't answer within a
   * timeout.
   */
  async order(req: OrderRequest): Promise<OrderReply> {
    if (!this.#engine) {
      return this.#reply(
        OrderState.Refused,
        "this sidecar has no engine to forward orders to",
      );
    }
    if (req.fencingNumber < this.#fencingNumber) {
      return this.#reply(
        OrderState.Refused,
        "an order with a higher fencing number was received",
      );
    }
    if (req.fencingNumber === this.#fencingNumber) {
      const repeatReply = this.#replyToRepeat(req);
      if (repeatReply) return repeatReply;
    }
    return await this.#accept(req);
  }

  async #accept(req: OrderRequest): Promise<OrderReply> {
    if (req.fencingNumber > this.#fencingNumber) this.#orders.clear();
    this.#fencingNumber = req.fencingNumber;
    const known: KnownOrder = {
      req,
      reply: this.#reply(OrderState.Running, "sent to the engine"),
    };
    this.#orders.set(orderSubject(req), known);
    this.#last = known.reply;
    this.#lastForward = this.#lastForward.then(() => this.#forward(known));
    await settleWithin(this.#lastForward, CONTROL_TIMEOUT_MS);
    return known.reply;
  }

  /**
   * Returns the reply to a repeated order; undefined if it has to be forwarded.
   */
  #replyToRepeat(req: OrderRequest): OrderReply | undefined {
    const known = this.#orders.get(orderSubject(req));
    if (!known) return undefined;
    const same = known.req.target === req.target &&
      known.req.version === req.version;
    if (!same) {
      return this.#reply(
        OrderState.Refused,
        "another order has this fencing number",
      );
    }
    return known.reply.state === OrderState.Failed ? undefined : known.reply;
  }

  async #forward(known: KnownOrder): Promise<void> {
    const { req } = known;
    if (req.fencingNumber < this.#fencingNumber) return;
    const accepted = await this.#engine?.order(req) ?? false;
    log("order_ended", {
      fencing: req.fencingNumber,
      kind: req.kind,
      accepted,
    });
    if (accepted) this.#onDone(req);
    if (req.fencingNumber < this.#fencingNumber) return;
    known.reply = accepted
      ? this.#reply(OrderState.Done, "accepted by the engine")
      : this.#reply(OrderState.Failed, "the engine did not accept the order");
    this.#last = known.reply;
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
