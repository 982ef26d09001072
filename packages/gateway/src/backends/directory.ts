/**
 * The backend servers that the store lists. An entry that disappears is gone at
 * once, unless the store was out of reach just before: then it may have lapsed
 * only because its owner could not renew it, and it stays usable for a short
 * grace, within which a live owner is listed again.
 */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  type EngineStage,
  incarnationOf,
} from "./backend.ts";

/** Why a backend server left the directory, or that it joined. */
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
  /** How long a vanished entry stays usable after an outage. @default 1800 */
  lapseGraceMs?: number;
}

const LAPSE_GRACE_MS = 1_800;

type Listener = (change: DirectoryChange, backend: Backend) => void;

interface Listed {
  backend: Backend;
  /** When the entry vanished; it is usable until the grace is over. */
  missingSinceMs?: number;
}

/** Backend servers of one service that take new work. */
interface ReadyBackends {
  all: Backend[];
  byStage: Map<EngineStage | undefined, Backend[]>;
}

/** Owner of what is believed about backend servers. */
export class BackendDirectory {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #lapseGraceMs: number;
  readonly #listed = new Map<string, Listed>();
  readonly #listeners: Listener[] = [];
  /** What takes new work, by service; made anew after a change. */
  #ready: Map<string, ReadyBackends> | undefined;
  #storeAway = false;
  #storeBackAtMs = -Infinity;
  #loaded = false;

  constructor(options: DirectoryOptions) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#lapseGraceMs = options.lapseGraceMs ?? LAPSE_GRACE_MS;
  }

  /** True once the store has been read for the first time. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Calls `listener` at each change. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Backend servers of a service that take new work. */
  ready(service: string): readonly Backend[] {
    return this.#readyOf(service)?.all ?? [];
  }

  /** Engines of a service at one stage that take new work. */
  readyAt(service: string, stage: EngineStage): readonly Backend[] {
    return this.#readyOf(service)?.byStage.get(stage) ?? [];
  }

  /** All backend servers of a service, leaving ones included. */
  all(service: string): Backend[] {
    this.#expire();
    return [...this.#listed.values()]
      .map((listed) => listed.backend)
      .filter((backend) => backend.service === service);
  }

  /** The backend server with this id, if it is listed. */
  get(id: string): Backend | undefined {
    return this.#listed.get(id)?.backend;
  }

  /** The store cannot be reached: what is believed stays as it is. */
  storeLost(): void {
    this.#storeAway = true;
  }

  /** The store answers again. */
  storeRegained(): void {
    if (!this.#storeAway) return;
    this.#storeAway = false;
    this.#storeBackAtMs = this.#clock.now();
  }

  /** Replaces the whole list. */
  reset(backends: readonly Backend[]): void {
    this.#loaded = true;
    const named = new Set(backends.map((backend) => backend.id));
    for (const id of [...this.#listed.keys()]) {
      if (!named.has(id)) this.remove(id);
    }
    for (const backend of backends) this.put(backend);
  }

  /** Takes over the newest entry of one backend server. */
  put(backend: Backend): void {
    const before = this.#listed.get(backend.id)?.backend;
    this.#listed.set(backend.id, { backend });
    this.#ready = undefined;
    const change = changeBetween(before, backend);
    if (!change) return;
    if (before && incarnationOf(before) !== incarnationOf(backend)) {
      this.#tell(DirectoryChange.Removed, before, "restarted");
    }
    this.#tell(change, backend, "listed");
  }

  /** The store no longer lists this backend server. */
  remove(id: string): void {
    const listed = this.#listed.get(id);
    if (!listed) return;
    if (this.#mayHaveLapsed()) {
      listed.missingSinceMs ??= this.#clock.now();
      this.#log("backend_missing", {
        backend: id,
        grace_ms: Math.round(this.#graceLeftMs()),
      });
      return;
    }
    this.#drop(id, "unlisted");
  }

  #mayHaveLapsed(): boolean {
    return this.#storeAway || this.#graceLeftMs() > 0;
  }

  #graceLeftMs(): number {
    return this.#storeBackAtMs + this.#lapseGraceMs - this.#clock.now();
  }

  #expire(): void {
    if (this.#mayHaveLapsed()) return;
    for (const [id, listed] of this.#listed) {
      if (listed.missingSinceMs !== undefined) this.#drop(id, "lapsed");
    }
  }

  #drop(id: string, reason: string): void {
    const listed = this.#listed.get(id);
    if (!listed) return;
    this.#listed.delete(id);
    this.#ready = undefined;
    this.#tell(DirectoryChange.Removed, listed.backend, reason);
  }

  #readyOf(service: string): ReadyBackends | undefined {
    this.#expire();
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

  #tell(change: DirectoryChange, backend: Backend, reason: string): void {
    this.#log("backend_change", {
      change,
      reason,
      backend: backend.id,
      service: backend.service,
      address: backend.address,
      zone: backend.zone,
      stage: backend.stage,
      state: backend.state,
    });
    for (const listener of this.#listeners) listener(change, backend);
  }
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
    before.service === now.service;
  return same ? undefined : DirectoryChange.Changed;
}
