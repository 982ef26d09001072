/**
 * Keeps each stream at the software version that began it, whichever router its
 * caller reaches. All that the gateway decides by version is decided here and in
 * the handles of single streams.
 */
import type { Clock, Logger, Random } from "@sassafrascleat/runtime";
import type { BackendDirectory } from "../backends/directory.ts";
import type { ConfigHolder } from "../config/config_holder.ts";
import { RouteKind, type RoutingTable } from "../config/routing_table.ts";
import { DefaultVersionKeeper } from "./default_versions.ts";
import { ListedVersions } from "./listed_versions.ts";
import { LocalVersionLog } from "./local_version_log.ts";
import {
  type StreamRequest,
  StreamVersion,
  type VersionSources,
} from "./stream_version.ts";
import { type RecentStream, RecentStreams } from "./recent_streams.ts";
import type { DefaultVersions, VersionLog } from "./version_log.ts";
import { VersionRecords } from "./version_records.ts";

/** Options of {@link StreamVersions}. */
export interface StreamVersionsOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  directory: BackendDirectory;
  config: ConfigHolder;
  /** Returns the shared log. @default a log of this router alone */
  versionLog?: () => VersionLog;
  /** How long a stream can be resumed after its beginning, in milliseconds. */
  retainMs: number;
  /** Aborts when the gateway stops. */
  signal?: AbortSignal;
}

/** Pause after a change of the servers, which come in series; in ms. */
const CHANGE_PAUSE_MS = 20;

/** Knows the versions of streams, and keeps the default versions up to date. */
export class StreamVersions {
  readonly #sources: VersionSources;
  readonly #signal: AbortSignal;
  /** Whether the store was reachable at the last check. */
  #wasReachable = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  /** When the timer fires, in clock milliseconds. */
  #timerAtMs = Infinity;
  readonly #clock: Clock;

  constructor(options: StreamVersionsOptions) {
    const { config, directory, signal = new AbortController().signal } =
      options;
    const localLog = new LocalVersionLog((defaults) => this.observe(defaults));
    const versionLog = options.versionLog ?? (() => localLog);
    const listed = new ListedVersions(options);
    this.#clock = options.clock;
    this.#signal = signal;
    this.#sources = {
      listed,
      records: new VersionRecords({ ...options, versionLog }),
      recent: new RecentStreams(options.clock, options.retainMs),
      defaults: new DefaultVersionKeeper({
        ...options,
        listed,
        versionLog,
        services: () => servicesWithStreams(config.current?.table),
      }),
    };
    signal.addEventListener("abort", () => clearTimeout(this.#timer));
    directory.onChange(() => this.#checkIn(CHANGE_PAUSE_MS));
    config.onChange(() => this.#checkIn(CHANGE_PAUSE_MS));
    if (!options.versionLog) this.observe(localLog.defaults);
  }

  /** Applies the default versions of the shared log. */
  observe(defaults: DefaultVersions): void {
    this.#sources.defaults.observe(defaults);
    this.#recordContradicting();
    this.#checkIn(0);
  }

  /** Records the streams that would be taken for ones of a new default. */
  #recordContradicting(): void {
    const { defaults, recent } = this.#sources;
    const streams = recent.contradicting((service) =>
      defaults.defaultOf(service)
    );
    for (const stream of streams) void this.#record(stream);
  }

  /** Records the streams whose records may be lost, one after another. */
  async #recordAgain(): Promise<void> {
    const { listed, recent } = this.#sources;
    for (const stream of recent.resumable()) {
      if (this.#signal.aborted) return;
      if (listed.isOnly(stream.service, stream.version)) continue;
      await this.#record(stream);
    }
  }

  async #record({ id, version }: RecentStream): Promise<void> {
    const { records, recent } = this.#sources;
    if (!await records.record(id, version, this.#signal)) return;
    if (recent.markRecorded(id)) records.removeLater(id);
    else records.remove(id);
  }

  /**
   * Notes that the store was restored from a copy, so that records and defaults
   * may be missing. What it says of them from then on is observed again.
   */
  handleStoreRestored(): void {
    this.#sources.listed.restartAbsence();
    this.#sources.defaults.handleLogRestored();
    void this.#recordAgain();
  }

  /** Creates the handle of a request for a stream. */
  open(req: StreamRequest): StreamVersion {
    return new StreamVersion(req, this.#sources);
  }

  /** Makes the changes of defaults that are due. */
  check(): void {
    const { listed, defaults } = this.#sources;
    listed.refresh();
    if (listed.reachable && !this.#wasReachable) this.#recordContradicting();
    this.#wasReachable = listed.reachable;
    this.#checkIn(defaults.check());
  }

  /** Checks after this time, unless an earlier check is due; in ms. */
  #checkIn(delayMs: number): void {
    const atMs = this.#clock.now() + delayMs;
    if (this.#signal.aborted || this.#timerAtMs <= atMs) return;
    clearTimeout(this.#timer);
    this.#timerAtMs = atMs;
    this.#timer = setTimeout(() => {
      this.#timerAtMs = Infinity;
      this.check();
    }, delayMs);
    this.#timer.unref();
  }
}

/** Services that streams run at which can be resumed. */
function servicesWithStreams(table: RoutingTable | undefined): Set<string> {
  const routes =
    table?.routes.filter((route) =>
      route.kind === RouteKind.Stream && route.resumable
    ) ?? [];
  return new Set(
    routes.flatMap((route) => route.targets.map((target) => target.service)),
  );
}
