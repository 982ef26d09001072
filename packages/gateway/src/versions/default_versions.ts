/**
 * Keeps the default version of each service up to date. A service without one
 * gets the version of most of its servers. The default is replaced once its
 * servers have been gone for so long that none of the streams that began there
 * can be resumed. All routers do so; random delays let one of them be the first
 * and spare the others the write.
 */
import {
  type Clock,
  errorMessage,
  type Logger,
  type Random,
} from "@sassafrascleat/runtime";
import type { ListedVersions } from "./listed_versions.ts";
import type { DefaultVersions, VersionLog } from "./version_log.ts";

/** Options of {@link DefaultVersionKeeper}. */
export interface DefaultVersionKeeperOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  listed: ListedVersions;
  versionLog: () => VersionLog;
  /** Services whose streams can be resumed. */
  services: () => Iterable<string>;
  /** How long a stream can be resumed after its beginning, in milliseconds. */
  retainMs: number;
}

/** Longest random delay before a service gets its first default, in ms. */
const FIRST_SPREAD_MS = 200;
/** Longest random delay before other changes, in milliseconds. */
const CHANGE_SPREAD_MS = 2_000;
/** Time until a change is tried again that had no visible effect, in ms. */
const RETRY_MS = 1_000;
/** Longest time between two checks, in milliseconds. */
const MAX_PAUSE_MS = 1_000;

/** Knows the default versions and changes them when they are outdated. */
export class DefaultVersionKeeper {
  readonly #options: DefaultVersionKeeperOptions;
  #defaults: DefaultVersions | undefined;
  /** When this router noticed that records may be missing, in clock ms. */
  #incompleteSinceMs: number | undefined;
  /** When changes are due, by service, in clock ms. */
  readonly #dueMs = new Map<string, number>();
  #completeDueMs = Infinity;

  constructor(options: DefaultVersionKeeperOptions) {
    this.#options = options;
  }

  /** Whether a missing record proves that a stream began at the default. */
  get complete(): boolean {
    return this.#defaults !== undefined &&
      this.#incompleteSinceMs === undefined;
  }

  /** The default version of a service; undefined if there is none, or unknown. */
  defaultOf(service: string): string | undefined {
    return this.#defaults?.versions.get(service);
  }

  /** Applies the default versions of the shared log. */
  observe(defaults: DefaultVersions): void {
    this.#defaults = defaults;
    if (defaults.complete) this.#incompleteSinceMs = undefined;
    else if (this.#incompleteSinceMs === undefined) this.handleLogRestored();
  }

  /** Notes that the log may have lost records, until it says otherwise. */
  handleLogRestored(): void {
    const { clock, random, retainMs } = this.#options;
    this.#incompleteSinceMs = clock.now();
    this.#completeDueMs = clock.now() + retainMs +
      random.int(0, CHANGE_SPREAD_MS);
  }

  /** Makes the changes that are due. Returns the time to the next check, in ms. */
  check(): number {
    if (this.#defaults === undefined) return MAX_PAUSE_MS;
    const services = new Set(this.#options.services());
    for (const service of services) this.#checkService(service);
    for (const service of this.#dueMs.keys()) {
      if (!services.has(service)) this.#dueMs.delete(service);
    }
    this.#checkComplete();
    const nextMs = Math.min(...this.#dueMs.values(), this.#completeDueMs);
    const pauseMs = nextMs - this.#options.clock.now();
    return Math.max(1, Math.min(MAX_PAUSE_MS, pauseMs));
  }

  #checkService(service: string): void {
    const { clock, random, listed } = this.#options;
    const before = this.defaultOf(service);
    const version = listed.commonest(service);
    if (version === undefined || !this.#isOutdated(service, before)) {
      this.#dueMs.delete(service);
      return;
    }
    const spreadMs = before === undefined ? FIRST_SPREAD_MS : CHANGE_SPREAD_MS;
    const dueMs = this.#dueMs.get(service) ??
      clock.now() + random.int(0, spreadMs);
    this.#dueMs.set(service, dueMs);
    if (clock.now() < dueMs) return;
    this.#dueMs.set(service, clock.now() + RETRY_MS);
    this.#setDefault(service, version, before);
  }

  #isOutdated(service: string, version: string | undefined): boolean {
    const { listed, retainMs } = this.#options;
    if (!listed.reachable) return false;
    return version === undefined ||
      listed.absentMs(service, version) >= retainMs;
  }

  #setDefault(
    service: string,
    version: string,
    before: string | undefined,
  ): void {
    const { log, versionLog } = this.#options;
    log("default_version_proposed", { service, version, before });
    versionLog().setDefault(service, version, before).catch((err) =>
      log("default_version_not_set", { service, message: errorMessage(err) })
    );
  }

  #checkComplete(): void {
    const { clock, log, versionLog } = this.#options;
    if (this.#incompleteSinceMs === undefined) {
      this.#completeDueMs = Infinity;
      return;
    }
    if (clock.now() < this.#completeDueMs) return;
    this.#completeDueMs = clock.now() + RETRY_MS;
    log("version_log_completion_proposed", {
      after_ms: Math.round(clock.now() - this.#incompleteSinceMs),
    });
    versionLog().markComplete().catch((err) =>
      log("version_log_not_marked", { message: errorMessage(err) })
    );
  }
}
