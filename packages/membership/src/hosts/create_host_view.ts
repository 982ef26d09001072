/** The host view of one daemon: the host list merged with the sidecars' replies. */
import {
  type BackendServer,
  HostState,
  type LoadHint,
} from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  createRandom,
  jitter,
  type Random,
  rendezvousRank,
  sleep,
  systemClock,
} from "@sassafrascleat/runtime";
import {
  DROP_AFTER_REFRESHES,
  HOST_REFRESH_MS,
  SUBSET_SIZE,
} from "../constants.ts";
import { HostRecord } from "./host_record.ts";
import type { HostSource, HostView } from "./host_view.ts";
import { chooseSubset, orderPool, type PoolMembers } from "./pool_members.ts";

/** Options of a host view. */
export interface HostViewOptions {
  source: HostSource;
  office: string;
  availabilityZone: string;
  /** Name of the daemon; seeds the rendezvous hash that chooses its subsets. */
  entryId: string;
  /** Maximum number of candidates of one pool. @default 16 */
  subsetSize?: number;
  /** Mean interval between two reads of the list, in milliseconds. @default 1000 */
  refreshMs?: number;
  /** Consecutive reads without a backend server after which it is removed. @default 3 */
  dropAfterRefreshes?: number;
  /** @default the process clock */
  clock?: Clock;
  /** @default seeded by `entryId` */
  random?: Random;
}

/** Options with every default applied. */
export type ResolvedHostViewOptions = Required<HostViewOptions>;

/** Applies the defaults of a host view. */
export function resolveHostViewOptions(
  raw: HostViewOptions,
): ResolvedHostViewOptions {
  return {
    ...raw,
    subsetSize: raw.subsetSize ?? SUBSET_SIZE,
    refreshMs: raw.refreshMs ?? HOST_REFRESH_MS,
    dropAfterRefreshes: raw.dropAfterRefreshes ?? DROP_AFTER_REFRESHES,
    clock: raw.clock ?? systemClock,
    random: raw.random ?? createRandom(rendezvousRank("hosts", raw.entryId)),
  };
}

/** A host view with the task that refreshes it. */
export interface RunningHostView extends HostView {
  /** Reads the list once; false if that failed. */
  refresh(signal: AbortSignal): Promise<boolean>;
  /** Reads the list at intervals until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Time since the list was last read, in milliseconds; undefined before the first read. */
  listAgeMs(): number | undefined;
}

/** Creates a host view, which is empty until the list is first read. */
export function createHostView(options: HostViewOptions): RunningHostView {
  return new MergedHostView(resolveHostViewOptions(options));
}

interface PoolCache {
  members: PoolMembers;
  subset: readonly BackendServer[] | undefined;
  validUntilMs: number;
}

const log = createLogger("hosts");

class MergedHostView implements RunningHostView {
  readonly #options: ResolvedHostViewOptions;
  readonly #records = new Map<string, HostRecord>();
  readonly #pools = new Map<string, PoolCache>();
  #refreshedAtMs: number | undefined;

  constructor(options: ResolvedHostViewOptions) {
    this.#options = options;
  }

  candidates(pool: string): readonly BackendServer[] {
    const nowMs = this.#options.clock.now();
    const cache = this.#poolCache(pool);
    if (!cache) return [];
    if (!cache.subset || nowMs >= cache.validUntilMs) {
      const records = chooseSubset(this.#options, cache.members, nowMs);
      cache.subset = records.map((record) => this.#withCurrentState(record));
      cache.validUntilMs = this.#nextChangeMs(cache.members, nowMs);
    }
    return cache.subset;
  }

  find(name: string): BackendServer | undefined {
    const record = this.#records.get(name);
    return record && this.#withCurrentState(record);
  }

  all(): readonly BackendServer[] {
    return [...this.#records.values()].map((record) =>
      this.#withCurrentState(record)
    );
  }

  observe(name: string, incarnation: string, hint: LoadHint): void {
    const record = this.#records.get(name);
    if (!record) return;
    const nowMs = this.#options.clock.now();
    const wasLeaving = record.isLeaving(nowMs);
    const wasSuspect = record.isSuspect;
    record.observe(incarnation, hint.leaving, nowMs);
    const isLeaving = record.isLeaving(nowMs);
    if (isLeaving !== wasLeaving || wasSuspect) {
      this.#invalidate(record.server.pool);
    }
    if (isLeaving !== wasLeaving) {
      log("leaving_changed", {
        backend: name,
        incarnation,
        leaving: isLeaving,
      });
    }
  }

  observeFailure(name: string): void {
    const record = this.#records.get(name);
    if (!record) return;
    record.observeFailure(this.#options.clock.now(), this.#options.random);
    this.#invalidate(record.server.pool);
  }

  listAgeMs(): number | undefined {
    if (this.#refreshedAtMs === undefined) return undefined;
    return this.#options.clock.now() - this.#refreshedAtMs;
  }

  async refresh(signal: AbortSignal): Promise<boolean> {
    const servers = await this.#options.source.list(signal);
    if (!servers) {
      log("list_unreadable", { known: this.#records.size });
      return false;
    }
    this.#merge(servers);
    this.#refreshedAtMs = this.#options.clock.now();
    return true;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh(signal);
      await sleep(
        jitter(this.#options.refreshMs, this.#options.random),
        signal,
      );
    }
  }

  #merge(servers: readonly BackendServer[]): void {
    for (const record of this.#records.values()) record.missedRefreshes += 1;
    for (const server of servers) this.#mergeServer(server);
    for (const [name, record] of this.#records) {
      if (record.missedRefreshes < this.#options.dropAfterRefreshes) continue;
      this.#records.delete(name);
      this.#pools.delete(record.server.pool);
      log("dropped", { backend: name });
    }
  }

  #mergeServer(server: BackendServer): void {
    const record = this.#records.get(server.name);
    if (!record) {
      this.#records.set(server.name, new HostRecord(server));
      this.#pools.delete(server.pool);
      return;
    }
    const before = record.server;
    record.list(server);
    if (isSameEntry(before, server)) return;
    this.#pools.delete(before.pool);
    this.#pools.delete(server.pool);
  }

  #poolCache(pool: string): PoolCache | undefined {
    const known = this.#pools.get(pool);
    if (known) return known;
    const records = [...this.#records.values()]
      .filter((record) => record.server.pool === pool);
    if (records.length === 0) return undefined;
    const members = orderPool(this.#options, records);
    const cache = { members, subset: undefined, validUntilMs: 0 };
    this.#pools.set(pool, cache);
    return cache;
  }

  #invalidate(pool: string): void {
    const cache = this.#pools.get(pool);
    if (cache) cache.subset = undefined;
  }

  #nextChangeMs(members: PoolMembers, nowMs: number): number {
    let next = Infinity;
    for (const record of [...members.sameZone, ...members.otherZones]) {
      next = Math.min(next, record.nextChangeMs(nowMs));
    }
    return next;
  }

  #withCurrentState(record: HostRecord): BackendServer {
    const leaving = record.isLeaving(this.#options.clock.now());
    const state = leaving ? HostState.Leaving : HostState.Live;
    return { ...record.server, state };
  }
}

function isSameEntry(a: BackendServer, b: BackendServer): boolean {
  return a.name === b.name && a.office === b.office &&
    a.availabilityZone === b.availabilityZone && a.pool === b.pool &&
    a.role === b.role && a.sidecarAddress === b.sidecarAddress &&
    a.engineAddress === b.engineAddress && a.state === b.state;
}
