/**
 * Compares ways to keep one customer within its quota over all routers, without
 * a network, and prints the table of docs/design/quotas.md. Run it after a build.
 *
 * The customer's callers reach six routers with unequal weights and move to six
 * others every 20 s. A call to the store is executed at once and counted.
 */
import { createRandom } from "@sassafrascleat/runtime";
import { CustomerState } from "../packages/gateway/dist/quota/customer_state.js";
import { LocalShareLog } from "../packages/gateway/dist/quota/local_share_log.js";
import { QuotaShares } from "../packages/gateway/dist/quota/quota_shares.js";

const QUOTA = { unit: "tokens", perSecond: 10_000, burst: 20_000 };
const TOLERANCE = { windowMs: 8_000, overRatio: 0.1, slack: 0 };
const ALLOWED = QUOTA.perSecond * 8 + QUOTA.burst;
const COST = 200;
const USUAL = 0.55;
const REACHED = 6;
const MOVE_MS = Number(process.env.QUOTA_MOVE_MS ?? 20_000);
const RUN_MS = 120_000;
/** Before it all ways have had time to settle. */
const SETTLED_MS = 10_000;
const STEP_MS = 20;
/** Credit is acquired for this time of a router's recent demand. */
const CREDIT_MS = 500;

/** A token bucket that is full at the start. */
class TokenBucket {
  constructor(perMs, capacity) {
    this.perMs = perMs;
    this.capacity = Math.max(COST, capacity);
    this.level = this.capacity;
    this.atMs = 0;
  }

  /** Tokens at `nowMs`. */
  available(nowMs) {
    const added = (nowMs - this.atMs) * this.perMs;
    this.level = Math.min(this.capacity, this.level + added);
    this.atMs = nowMs;
    return this.level;
  }

  tryTake(nowMs, cost = COST) {
    if (this.available(nowMs) < cost) return false;
    this.level -= cost;
    return true;
  }
}

/** Each router has an equal part of the limit. */
class EqualShares {
  calls = 0;

  constructor(routers) {
    const n = routers.length;
    this.buckets = routers.map(() =>
      new TokenBucket(QUOTA.perSecond / 1000 / n, QUOTA.burst / n)
    );
  }

  request(router, nowMs) {
    return this.buckets[router].tryTake(nowMs);
  }

  tick() {}
}

/** The way that is built: the modules of the gateway on one local object. */
class DemandShares {
  calls = 0;

  constructor(routers, network) {
    this.now = { monotonicMs: 0, wallMs: 0 };
    const local = new LocalShareLog();
    const call = (run) => {
      this.calls += 1;
      return network.isAway ? Promise.resolve({ end: "failed" }) : run();
    };
    const shareLog = {
      epoch: 0,
      read: (...args) => call(() => local.read(...args)),
      write: (...args) => call(() => local.write(...args)),
    };
    const basis = {
      ...{ quota: QUOTA, tolerance: TOLERANCE },
      routerCount: routers.length,
    };
    this.routers = routers.map((_it, i) => {
      const shares = new QuotaShares({
        ...{ shareLog: () => shareLog, log: () => {}, firstStart: true },
        ...{ now: () => ({ ...this.now }), routerName: `r${i}` },
        ...{ random: createRandom(i), noticeMs: 3_000 },
      });
      const create = () => new CustomerState(basis, -1e9, this.now);
      return { shares, create };
    });
  }

  request(router) {
    const { shares, create } = this.routers[router];
    const tracked = shares.get("c") ?? shares.track("c", create());
    tracked.exchange.expire();
    return tracked.state.tryTake(COST, this.now);
  }

  tick(nowMs) {
    this.now = { monotonicMs: nowMs, wallMs: nowMs };
    const { signal } = new AbortController();
    for (const { shares } of this.routers) shares.tick(signal);
  }
}

/** Routers take tokens of one bucket in the store before they use them. */
class CreditLeases {
  calls = 0;

  constructor(routers, network) {
    this.network = network;
    this.store = new TokenBucket(QUOTA.perSecond / 1000, QUOTA.burst);
    this.credits = routers.map(() => ({ tokens: 0, usedMs: 0, perMs: 0 }));
  }

  request(router, nowMs) {
    const credit = this.credits[router];
    const passedMs = Math.max(STEP_MS, nowMs - credit.usedMs);
    credit.perMs += 0.1 * (COST / passedMs - credit.perMs);
    credit.usedMs = nowMs;
    if (credit.tokens < COST) this.acquire(credit, nowMs);
    if (credit.tokens < COST) return false;
    credit.tokens -= COST;
    return true;
  }

  acquire(credit, nowMs) {
    if (credit.triedMs > nowMs - 200) return;
    this.calls += 2;
    credit.triedMs = nowMs;
    const wanted = Math.max(COST, credit.perMs * CREDIT_MS);
    const free = Math.max(0, this.store.available(nowMs));
    const tokens = Math.min(wanted, free);
    if (this.network.isAway || tokens < COST) return;
    this.store.tryTake(nowMs, tokens);
    credit.tokens += tokens;
  }

  tick() {}
}

/** One router decides for all, which ask it for each request. */
class SingleOwner {
  calls = 0;

  constructor() {
    this.bucket = new TokenBucket(QUOTA.perSecond / 1000, QUOTA.burst);
  }

  request(_router, nowMs) {
    return this.bucket.tryTake(nowMs);
  }

  tick(nowMs) {
    // The owner renews its lease every 8 s with one write.
    if (nowMs % 8_000 === 0) this.calls += 1;
  }
}

/** Plays one way; `overload` begins after a minute with the store away. */
async function play(Way, routerCount, overload) {
  const random = createRandom(5);
  const network = { isAway: false };
  const way = new Way(Array.from({ length: routerCount }), network);
  const admitted = [];
  let sent = 0;
  let rejected = 0;
  for (let ms = STEP_MS; ms <= RUN_MS; ms += STEP_MS) {
    network.isAway = overload && ms > 60_000;
    way.tick(ms);
    const factor = network.isAway ? 5 : USUAL;
    const mean = factor * QUOTA.perSecond / COST * STEP_MS / 1000;
    const count = Math.floor(mean) + (random.float() < mean % 1 ? 1 : 0);
    for (let i = 0; i < count; i += 1) {
      const isCounted = ms > SETTLED_MS;
      if (isCounted) sent += 1;
      const router = pickRouter(ms, routerCount, network.isAway, random);
      if (way.request(router, ms)) admitted.push(ms);
      else if (isCounted) rejected += 1;
    }
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
  }
  return {
    rejected: 100 * rejected / sent,
    callsPerSecond: way.calls / (RUN_MS / 1000),
    worst: worstWindow(admitted.filter((ms) => ms > 60_000)) / ALLOWED,
  };
}

function pickRouter(ms, routerCount, isSpread, random) {
  if (isSpread) return random.int(0, routerCount - 1);
  const first = Math.floor(ms / MOVE_MS) * 7;
  const index = Math.floor(REACHED * random.float() ** 2);
  return (first + index) % routerCount;
}

function worstWindow(times) {
  let first = 0;
  let worst = 0;
  times.forEach((ms, i) => {
    while (times[first] <= ms - TOLERANCE.windowMs) first += 1;
    worst = Math.max(worst, (i - first + 1) * COST);
  });
  return worst;
}

console.log("way | routers | rejected % | store calls/s | worst sum / limit");
for (const Way of [EqualShares, DemandShares, CreditLeases, SingleOwner]) {
  for (const routerCount of [20, 300, 1_100]) {
    const usual = await play(Way, routerCount, false);
    const { worst } = await play(Way, routerCount, true);
    const cells = [
      ...[Way.name, routerCount, usual.rejected.toFixed(1)],
      ...[usual.callsPerSecond.toFixed(2), worst.toFixed(2)],
    ];
    console.log(cells.join(" | "));
  }
}
