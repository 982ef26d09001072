/**
 * The software versions of the backend servers that the directory lists, and
 * when the servers of a version were last listed. A version is known to be gone
 * only for as long as the store was reachable meanwhile.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { type Backend, BackendState } from "../backends/backend.ts";
import type { BackendDirectory } from "../backends/directory.ts";
import { getOrCreate } from "../service_states.ts";

/** Options of {@link ListedVersions}. */
export interface ListedVersionsOptions {
  clock: Clock;
  directory: BackendDirectory;
  /** How long versions are remembered that are not listed, in milliseconds. */
  retainMs: number;
}

/** Retention times after which a version that is gone is forgotten. */
const FORGET_FACTOR = 4;

/** Knows the versions in service. */
export class ListedVersions {
  readonly #clock: Clock;
  readonly #directory: BackendDirectory;
  readonly #retainMs: number;
  /** Number of ready servers by service and version; filled on first use. */
  readonly #readyCounts = new Map<string, ReadonlyMap<string, number>>();
  /** When versions were last seen, by service and version, in clock ms. */
  readonly #lastListedMs = new Map<string, Map<string, number>>();
  /** Since when the store has been reachable without interruption, in clock ms. */
  #reachableSinceMs: number;

  constructor(options: ListedVersionsOptions) {
    this.#clock = options.clock;
    this.#directory = options.directory;
    this.#retainMs = options.retainMs;
    this.#reachableSinceMs = options.clock.now();
    this.#directory.onChange((_change, backend) => this.#noteChange(backend));
  }

  /** Whether the store can be read, and has been. */
  get reachable(): boolean {
    return this.#directory.loaded && !this.#directory.outdated;
  }

  /** Notes whether the store is reachable, and what is listed; called often. */
  refresh(): void {
    if (!this.reachable) this.restartAbsence();
    this.#noteListed();
    this.#forgetOld();
  }

  /** Counts the absence of all versions from now on. */
  restartAbsence(): void {
    this.#reachableSinceMs = this.#clock.now();
  }

  /** Listed versions of a service with their number of ready servers. */
  of(service: string): ReadonlyMap<string, number> {
    return getOrCreate(
      this.#readyCounts,
      service,
      () => countReady(this.#directory.all(service)),
    );
  }

  /** The version with the most ready servers; undefined if none is ready. */
  commonest(service: string): string | undefined {
    let best: string | undefined;
    let bestCount = 0;
    for (const [version, count] of this.of(service)) {
      if (count <= bestCount) continue;
      best = version;
      bestCount = count;
    }
    return best;
  }

  /** Whether servers of this version, and of no other, are or were listed lately. */
  isOnly(service: string, version: string): boolean {
    const lately = this.#lately(service);
    return lately.size === 1 && lately.has(version);
  }

  /** How long no server of the version has been listed, in ms; 0 if one is. */
  absentMs(service: string, version: string): number {
    if (this.of(service).has(version)) return 0;
    const lastMs = this.#lastListedMs.get(service)?.get(version) ?? -Infinity;
    return this.#clock.now() - Math.max(lastMs, this.#reachableSinceMs);
  }

  #lately(service: string): ReadonlySet<string> {
    const lately = new Set(this.of(service).keys());
    const sinceMs = this.#clock.now() - this.#retainMs;
    for (const [version, lastMs] of this.#lastListedMs.get(service) ?? []) {
      if (lastMs >= sinceMs) lately.add(version);
    }
    return lately;
  }

  #noteChange({ service, version }: Backend): void {
    this.#noteListed();
    this.#note(service, version);
    this.#readyCounts.clear();
  }

  #noteListed(): void {
    for (const [service, counts] of this.#readyCounts) {
      for (const version of counts.keys()) this.#note(service, version);
    }
  }

  #note(service: string, version: string): void {
    const versions = getOrCreate(this.#lastListedMs, service, () => new Map());
    versions.set(version, this.#clock.now());
  }

  #forgetOld(): void {
    const sinceMs = this.#clock.now() - FORGET_FACTOR * this.#retainMs;
    for (const [service, versions] of this.#lastListedMs) {
      for (const [version, lastMs] of versions) {
        if (lastMs < sinceMs) versions.delete(version);
      }
      if (versions.size === 0) this.#lastListedMs.delete(service);
    }
  }
}

function countReady(backends: readonly Backend[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { version, state } of backends) {
    const ready = state === BackendState.Ready ? 1 : 0;
    counts.set(version, (counts.get(version) ?? 0) + ready);
  }
  return counts;
}
