/**
 * Orders to the engine, fenced here because some engines ignore the fencing
 * number: an older order is refused, an equal one is idempotent. One change of
 * configuration may ask for several orders (a role, a model, adapters), which
 * then share its number. One order at a time is on its way, so that two can't
 * overtake each other.
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

/** Names what an order sets: adapters stand side by side, all else is single. */
function subjectOf({ kind, target }: OrderRequest): string {
  return kind === OrderKind.LoadAdapter ? `${kind} ${target}` : kind;
}

/** Checks and forwards orders. */
export class OrderGuard {
  readonly #engine: Engine | undefined;
  readonly #incarnation: string;
  readonly #onDone: (req: OrderRequest) => void;
  #fencingNumber = 0;
  #last: OrderReply | undefined;
  /** Orders under the current number, by what they set. */
  readonly #orders = new Map<string, KnownOrder>();
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
    return await this.#accept(req);
  }

  async #accept(req: OrderRequest): Promise<OrderReply> {
    if (req.fencingNumber > this.#fencingNumber) this.#orders.clear();
    this.#fencingNumber = req.fencingNumber;
    const known: KnownOrder = {
      req,
      reply: this.#reply(OrderState.Running, "sent to the engine"),
    };
    this.#orders.set(subjectOf(req), known);
    this.#last = known.reply;
    this.#chain = this.#chain.then(() => this.#forward(known));
    await settleWithin(this.#chain, CONTROL_TIMEOUT_MS);
    return known.reply;
  }

  /** The reply to a repeat; undefined when the order has to be forwarded. */
  #repeat(req: OrderRequest): OrderReply | undefined {
    const known = this.#orders.get(subjectOf(req));
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
      ? this.#reply(OrderState.Done, "followed by the engine")
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
