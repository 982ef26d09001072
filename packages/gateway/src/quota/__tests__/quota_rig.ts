/** Routers and a store whose calls the test delivers one by one. */
import { createRandom } from "@sassafrascleat/runtime";
import type { CustomerQuota } from "../../config/routing_table.ts";
import type { QuotaTolerance } from "../customer_quota.ts";
import { CustomerState } from "../customer_state.ts";
import {
  type QuotaShareLog,
  ShareLogEnd,
  type ShareLogResult,
  type ShareReadOptions,
} from "../quota_share_log.ts";
import { QuotaShares, type TrackedCustomer } from "../quota_shares.ts";
import type { CustomerShares } from "../share_ledger.ts";
import type { Instant } from "../share_lease.ts";

const CUSTOMER = "c";
/** Revisions of one epoch are below this. */
const EPOCH = 1_000_000;
/** A call that was sent earlier has no effect any more. */
const MAX_LATE_MS = 5_000;

interface StoreContent {
  shares?: CustomerShares;
  revision: number;
}

interface Call {
  sentMs: number;
  epochBefore: number;
  run: () => ShareLogResult;
  result?: ShareLogResult;
  epochAfter?: number;
  respond?: (result: ShareLogResult) => void;
}

/** One object for all routers, with copies to restore. */
export class CallByCallStore {
  nowMs = 0;
  epoch = 0;
  content: StoreContent = { revision: 0 };
  readonly copies: StoreContent[] = [{ revision: 0 }];
  readonly pending: Call[] = [];

  /** Executes a call, now or after its response was lost. */
  execute(index: number): void {
    const call = this.pending[index];
    if (!call || call.result || this.nowMs - call.sentMs > MAX_LATE_MS) return;
    call.result = call.run();
    call.epochAfter = this.epoch;
    this.copies.push(this.content);
    if (!call.respond) this.pending.splice(index, 1);
  }

  /** Delivers the response, or that there is none. */
  respond(index: number, isLost = false): void {
    const call = this.pending[index];
    if (!call?.respond) return;
    const result = isLost ? undefined : call.result;
    if (!result) call.epochAfter = undefined;
    call.respond(result ?? { end: ShareLogEnd.Failed });
    call.respond = undefined;
    if (call.result) this.pending.splice(index, 1);
  }

  /** Whether a call still waits for its response. */
  isAwaited(index: number): boolean {
    return this.pending[index]?.respond !== undefined;
  }

  /** Drops the calls that can't have an effect any more. */
  dropExpired(): void {
    for (let i = this.pending.length - 1; i >= 0; i -= 1) {
      const { sentMs, respond } = this.pending[i] as Call;
      if (respond || this.nowMs - sentMs <= MAX_LATE_MS) continue;
      this.pending.splice(i, 1);
    }
  }

  /** Loses the last changes; revisions are assigned again. */
  restore(back: number): void {
    this.epoch += 1;
    const copy = this.copies.at(-1 - back % this.copies.length);
    this.content = copy ?? { revision: 0 };
    this.copies.splice(0, this.copies.length, this.content);
  }

  toResult({ shares, revision }: StoreContent): ShareLogResult {
    if (!shares) return { end: ShareLogEnd.Absent };
    const end = ShareLogEnd.Ok;
    return { end, shares, revision: this.epoch * EPOCH + revision };
  }
}

/** A router's access to the store, which notices restorations as it does. */
class ShareClient implements QuotaShareLog {
  epoch = 0;
  isPartitioned = false;
  readonly #store: CallByCallStore;
  readonly #onRestored: () => void;

  constructor(store: CallByCallStore, onRestored: () => void) {
    this.#store = store;
    this.#onRestored = onRestored;
    this.epoch = store.epoch;
  }

  read(_name: string, _signal: AbortSignal, options: ShareReadOptions = {}) {
    const store = this.#store;
    return this.#call(() => {
      const stale = options.fresh ? undefined : store.copies.at(-2);
      return store.toResult(stale ?? store.content);
    });
  }

  write(_name: string, shares: CustomerShares, revision: number | undefined) {
    const store = this.#store;
    const base = revision === undefined ? undefined : revision % EPOCH;
    if (revision !== undefined && Math.floor(revision / EPOCH) !== this.epoch) {
      return Promise.resolve<ShareLogResult>({ end: ShareLogEnd.Failed });
    }
    return this.#call(() => {
      const { content } = store;
      const current = content.shares ? content.revision : undefined;
      if (current !== base) return { end: ShareLogEnd.Conflict };
      store.content = { shares, revision: content.revision + 1 };
      return store.toResult(store.content);
    });
  }

  async #call(run: () => ShareLogResult): Promise<ShareLogResult> {
    if (this.isPartitioned) return { end: ShareLogEnd.Failed };
    const store = this.#store;
    const call: Call = { sentMs: store.nowMs, epochBefore: this.epoch, run };
    const response = new Promise<ShareLogResult>((resolve) => {
      call.respond = resolve;
    });
    store.pending.push(call);
    const result = await response;
    const { epochAfter = this.epoch } = call;
    if (epochAfter > this.epoch) {
      this.epoch = epochAfter;
      this.#onRestored();
    }
    const isCurrent = epochAfter === this.epoch &&
      call.epochBefore === this.epoch;
    return isCurrent ? result : { end: ShareLogEnd.Failed };
  }
}

/** Options of {@link TestRouter}. */
export interface TestRouterOptions {
  store: CallByCallStore;
  name: string;
  quota: CustomerQuota;
  tolerance: QuotaTolerance;
  routerCount: number;
  /** Rate of its clocks. @default 1 */
  rate?: number;
  /** @default false */
  firstStart?: boolean;
}

/** One process of a router, with clocks of its own. */
export class TestRouter {
  readonly now: Instant = { monotonicMs: 0, wallMs: 0 };
  readonly shares: QuotaShares;
  readonly #options: TestRouterOptions;
  readonly #tracked: TrackedCustomer;
  readonly #client: ShareClient;

  constructor(options: TestRouterOptions) {
    this.#options = options;
    const { store, name, quota, tolerance, routerCount } = options;
    const client = this.#client = new ShareClient(
      store,
      () => this.shares.handleStoreRestored(),
    );
    this.shares = new QuotaShares({
      shareLog: () => client,
      log: () => {},
      random: createRandom(7),
      now: () => ({ ...this.now }),
      routerName: name,
      noticeMs: 3_000,
      firstStart: options.firstStart ?? false,
    });
    const basis = { quota, tolerance, routerCount };
    const sinceMs = options.firstStart ? -Infinity : 0;
    const state = new CustomerState(basis, sinceMs, this.now);
    this.#tracked = this.shares.track(CUSTOMER, state);
  }

  /** Whether the store can't be reached. */
  set isPartitioned(isPartitioned: boolean) {
    this.#client.isPartitioned = isPartitioned;
  }

  get state(): CustomerState {
    return this.#tracked.state;
  }

  /** The share that a request would be decided with now. */
  get shareInForce(): number {
    const { state } = this.#tracked;
    return state.lease.isValid(this.now) ? state.share : 0;
  }

  advance(ms: number, isSuspended = false): void {
    const passedMs = ms * (this.#options.rate ?? 1);
    this.now.wallMs += passedMs;
    if (!isSuspended) this.now.monotonicMs += passedMs;
  }

  request(cost: number): boolean {
    this.#tracked.exchange.expire();
    return this.state.tryTake(cost, this.now);
  }

  tick(): void {
    this.shares.tick(new AbortController().signal);
  }
}

/** Lets the routers continue with the responses that were delivered. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
}

/** Executes and responds to all calls until there are none. */
export async function deliverAll(store: CallByCallStore): Promise<void> {
  while (store.pending.length > 0) {
    store.execute(0);
    store.respond(0);
    store.dropExpired();
    await settle();
  }
}
