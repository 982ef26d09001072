/**
 * The backend servers that the store lists. An entry that disappears is removed
 * at once, unless the store was unreachable just before: then it may have
 * expired only because its owner could not renew it. It stays usable for a
 * short grace period, in which a live owner is listed again.
 *
 * A store that was restored from a copy lists the past. One incarnation of a
 * backend server never takes back that it is draining, and one that was removed
 * or replaced before is used again only if its owner writes the entry anew or
 * keeps it from expiring.
 */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";
import {
  type Backend,
  BackendState,
  type EngineStage,
  incarnationOf,
} from "./backend.ts";

/** How the entry of a backend server changed. */
export enum DirectoryChange {
  Joined = "joined",
  Changed = "changed",
  Draining = "draining",
  Removed = "removed",
}

/** Options of the directory. */
export interface DirectoryOptions {
  clock: Clock;
  log: Logger;
  /**
   * How long a missing entry stays usable after an outage of the store, in
   * milliseconds. @default 1800
   */
  expiryGraceMs?: number;
  /**
   * Time in which an entry expires that its owner doesn't renew, in
   * milliseconds. @default 5000
   */
  entryLifetimeMs?: number;
}

const DEFAULT_EXPIRY_GRACE_MS = 1_800;
const DEFAULT_ENTRY_LIFETIME_MS = 5_000;
/** Most incarnations that are remembered after they were removed. */
const MAX_REMEMBERED = 4_096;
/**
 * Time between the acceptance of an entry by the store and its arrival here, in
 * milliseconds.
 */
const MAX_NOTICE_MS = 1_200;

type Listener = (change: DirectoryChange, backend: Backend) => void;

/** When an incarnation began to drain. */
interface DrainStart {
  /** The earliest possible time, in milliseconds of the process clock. */
  sinceMs: number;
  /** The store has listed it as draining, rather than only its responses. */
  isListed: boolean;
}

interface ListedBackend {
  backend: Backend;
  /** When the entry disappeared; usable until the grace period ends. */
  missingSinceMs?: number;
}

/** Backend servers of one service that accept new requests. */
interface ReadyBackends {
  all: Backend[];
  byStage: Map<EngineStage | undefined, Backend[]>;
}

/** Keeps the known backend servers and reports changes to them. */
export class BackendDirectory {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #expiryGraceMs: number;
  readonly #entryLifetimeMs: number;
  /** Incarnations that drain; they never take that back. */
  readonly #draining = new LRUCache<string, DrainStart>({
    max: MAX_REMEMBERED,
  });
  /** When incarnations were removed at the earliest, by the process clock. */
  readonly #removed = new LRUCache<string, number>({ max: MAX_REMEMBERED });
  /** Removed incarnations that a restored store lists, by id. */
  readonly #unconfirmed = new Map<string, Backend>();
  /** When entries that nobody renewed after a restoration have expired. */
  #unconfirmedUntilMs = -Infinity;
  readonly #listed = new Map<string, ListedBackend>();
  readonly #listeners: Listener[] = [];
  /** Ready backend servers by service; rebuilt after a change. */
  #ready: Map<string, ReadyBackends> | undefined;
  #storeUnreachable = false;
  #storeReachableAtMs = -Infinity;
  #loaded = false;

  constructor(options: DirectoryOptions) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#expiryGraceMs = options.expiryGraceMs ?? DEFAULT_EXPIRY_GRACE_MS;
    this.#entryLifetimeMs = options.entryLifetimeMs ??
      DEFAULT_ENTRY_LIFETIME_MS;
  }

  /** True once the store has been read for the first time. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Calls `listener` on each change. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Backend servers of a service that accept new requests. */
  ready(service: string): readonly Backend[] {
    return this.#readyOf(service)?.all ?? [];
  }

  /** Engines of a service at one stage that accept new requests. */
  readyAt(service: string, stage: EngineStage): readonly Backend[] {
    return this.#readyOf(service)?.byStage.get(stage) ?? [];
  }

  /** Whether this incarnation of a backend server still accepts new requests. */
  isReady(backend: Backend): boolean {
    const listed = this.get(backend.id);
    return listed?.state === BackendState.Ready &&
      incarnationOf(listed) === incarnationOf(backend);
  }

  /** All backend servers of a service, including those that are draining. */
  all(service: string): Backend[] {
    this.#dropExpired();
    return [...this.#listed.values()]
      .map((listed) => listed.backend)
      .filter((backend) => backend.service === service);
  }

  /** The backend server with this id, if it is listed. */
  get(id: string): Backend | undefined {
    return this.#listed.get(id)?.backend;
  }

  /**
   * When an incarnation began to drain or was removed at the earliest, in
   * milliseconds of the process clock; -Infinity if that isn't known.
   */
  leavingSinceMs(backend: Backend): number {
    const key = incarnationOf(backend);
    const drainingMs = this.#draining.get(key)?.sinceMs;
    const removedMs = this.#removed.get(key);
    if (drainingMs === undefined) return removedMs ?? -Infinity;
    return Math.min(drainingMs, removedMs ?? Infinity);
  }

  /** True while the store cannot be read, so that entries may be outdated. */
  get outdated(): boolean {
    return this.#storeUnreachable;
  }

  /**
   * Changes the stage of an engine whose entry is known to be outdated. The
   * next entry that the store lists replaces it.
   */
  assumeStage(id: string, stage: EngineStage): void {
    const listed = this.#listed.get(id);
    if (!listed || listed.backend.stage === stage) return;
    listed.backend = { ...listed.backend, stage };
    this.#ready = undefined;
    this.#notify(DirectoryChange.Changed, listed.backend, "assumed");
  }

  /**
   * Marks a backend server as draining that says so itself; the store may list
   * that later or never.
   */
  markDraining(backend: Backend): void {
    const key = incarnationOf(backend);
    if (this.#draining.has(key)) return;
    const sinceMs = this.#clock.now() - MAX_NOTICE_MS;
    this.#draining.set(key, { sinceMs, isListed: false });
    const listed = this.#listed.get(backend.id);
    if (!listed || incarnationOf(listed.backend) !== key) return;
    listed.backend = { ...listed.backend, state: BackendState.Draining };
    this.#ready = undefined;
    this.#notify(DirectoryChange.Draining, listed.backend, "responded");
  }

  /** Marks the store as unreachable: known entries are kept. */
  markStoreUnreachable(): void {
    this.#storeUnreachable = true;
  }

  /** Marks the store as reachable and starts the grace period. */
  markStoreReachable(): void {
    if (!this.#storeUnreachable) return;
    this.#storeUnreachable = false;
    this.#storeReachableAtMs = this.#clock.now();
  }

  /**
   * Notes that the store was restored from a copy. What it lists next is from
   * the past, until the owners of the entries have written them again.
   */
  markStoreRestored(): void {
    const nowMs = this.#clock.now();
    this.#storeReachableAtMs = nowMs;
    this.#unconfirmedUntilMs = nowMs + this.#entryLifetimeMs;
  }

  /** Replaces the whole list; missing entries are passed to `remove`. */
  reset(backends: readonly Backend[]): void {
    this.#loaded = true;
    this.#unconfirmed.clear();
    const listedIds = new Set(backends.map((backend) => backend.id));
    for (const id of [...this.#listed.keys()]) {
      if (!listedIds.has(id)) this.remove(id);
    }
    for (const backend of backends) {
      if (this.#mayBeOutdated(backend)) this.#setAside(backend);
      else this.put(backend);
    }
  }

  /** Whether a restored store may list an incarnation that is gone. */
  #mayBeOutdated(backend: Backend): boolean {
    if (this.#clock.now() >= this.#unconfirmedUntilMs) return false;
    const known = this.#listed.get(backend.id)?.backend;
    return this.#removed.has(incarnationOf(backend)) ||
      (known !== undefined && isOlderIncarnation(backend, known));
  }

  #setAside(backend: Backend): void {
    this.#log("backend_unconfirmed", {
      backend: backend.id,
      for_ms: Math.round(this.#unconfirmedUntilMs - this.#clock.now()),
    });
    this.#unconfirmed.set(backend.id, backend);
  }

  /**
   * Adds or updates the entry of one backend server, which was written at
   * `writtenAtMs` of the process clock at the earliest. @default an unknown time
   */
  put(entry: Backend, writtenAtMs = -Infinity): void {
    const before = this.#listed.get(entry.id)?.backend;
    const backend = this.#keepDraining(entry, writtenAtMs);
    this.#unconfirmed.delete(backend.id);
    this.#removed.delete(incarnationOf(backend));
    this.#listed.set(backend.id, { backend });
    this.#ready = undefined;
    const change = changeBetween(before, backend);
    if (!change) return;
    if (before && incarnationOf(before) !== incarnationOf(backend)) {
      this.#removed.set(incarnationOf(before), writtenAtMs);
      this.#notify(DirectoryChange.Removed, before, "restarted");
    }
    this.#notify(change, backend, "listed");
  }

  #keepDraining(entry: Backend, writtenAtMs: number): Backend {
    const key = incarnationOf(entry);
    const known = this.#draining.get(key);
    if (entry.state === BackendState.Draining && !known?.isListed) {
      const sinceMs = Math.max(known?.sinceMs ?? -Infinity, writtenAtMs);
      this.#draining.set(key, { sinceMs, isListed: true });
    }
    return this.#draining.has(key)
      ? { ...entry, state: BackendState.Draining }
      : entry;
  }

  /**
   * Removes an entry that the store no longer lists, during an outage of the
   * store and shortly after only once the grace period is over. It was removed
   * at `removedAtMs` of the process clock at the earliest.
   * @default an unknown time
   */
  remove(id: string, removedAtMs = -Infinity): void {
    this.#unconfirmed.delete(id);
    const listed = this.#listed.get(id);
    if (!listed) return;
    if (this.#mayHaveExpired()) {
      listed.missingSinceMs ??= this.#clock.now();
      this.#log("backend_missing", {
        backend: id,
        grace_ms: Math.round(this.#remainingGraceMs()),
      });
      return;
    }
    this.#drop(id, "unlisted", removedAtMs);
  }

  #mayHaveExpired(): boolean {
    return this.#storeUnreachable || this.#remainingGraceMs() > 0;
  }

  #remainingGraceMs(): number {
    return this.#storeReachableAtMs + this.#expiryGraceMs - this.#clock.now();
  }

  #dropExpired(): void {
    this.#confirmUnexpired();
    if (this.#mayHaveExpired()) return;
    for (const [id, listed] of this.#listed) {
      if (listed.missingSinceMs !== undefined) this.#drop(id, "lapsed");
    }
  }

  /** Uses entries again that a removed backend server would have lost by now. */
  #confirmUnexpired(): void {
    if (this.#unconfirmed.size === 0) return;
    if (this.#clock.now() < this.#unconfirmedUntilMs) return;
    for (const backend of [...this.#unconfirmed.values()]) this.put(backend);
  }

  #drop(id: string, reason: string, removedAtMs = -Infinity): void {
    const listed = this.#listed.get(id);
    if (!listed) return;
    this.#listed.delete(id);
    this.#removed.set(incarnationOf(listed.backend), removedAtMs);
    this.#ready = undefined;
    this.#notify(DirectoryChange.Removed, listed.backend, reason);
  }

  #readyOf(service: string): ReadyBackends | undefined {
    this.#dropExpired();
    this.#ready ??= this.#indexReady();
    return this.#ready.get(service);
  }

  #indexReady(): Map<string, ReadyBackends> {
    const index = new Map<string, ReadyBackends>();
    for (const { backend } of this.#listed.values()) {
      if (backend.state !== BackendState.Ready) continue;
      const group: ReadyBackends = index.get(backend.service) ??
        { all: [], byStage: new Map() };
      index.set(backend.service, group);
      group.all.push(backend);
      const peers = group.byStage.get(backend.stage) ?? [];
      group.byStage.set(backend.stage, peers);
      peers.push(backend);
    }
    return index;
  }

  #notify(change: DirectoryChange, backend: Backend, reason: string): void {
    this.#log("backend_change", {
      change,
      reason,
      backend: backend.id,
      service: backend.service,
      address: backend.address,
      zone: backend.zone,
      version: backend.version,
      stage: backend.stage,
      state: backend.state,
    });
    for (const listener of this.#listeners) listener(change, backend);
  }
}

function isOlderIncarnation(entry: Backend, known: Backend): boolean {
  return entry.startedAtMs !== undefined && known.startedAtMs !== undefined &&
    entry.startedAtMs < known.startedAtMs;
}

function changeBetween(
  before: Backend | undefined,
  now: Backend,
): DirectoryChange | undefined {
  if (!before) return DirectoryChange.Joined;
  if (now.state === BackendState.Draining) {
    return before.state === now.state ? undefined : DirectoryChange.Draining;
  }
  const same = incarnationOf(before) === incarnationOf(now) &&
    before.state === now.state && before.stage === now.stage &&
    before.zone === now.zone && before.slots === now.slots &&
    before.version === now.version &&
    before.service === now.service;
  return same ? undefined : DirectoryChange.Changed;
}
