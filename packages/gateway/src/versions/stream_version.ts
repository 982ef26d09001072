/**
 * The software version of one stream, during one request of its caller. Until
 * the first event any version will do; after it only backend servers of the same
 * version may continue the stream, in this response and in later ones. What
 * another request needs to know of it is recorded before the stream begins.
 */
import type { Backend } from "../backends/backend.ts";
import type { DefaultVersionKeeper } from "./default_versions.ts";
import type { ListedVersions } from "./listed_versions.ts";
import type { RecentStreams } from "./recent_streams.ts";
import { RecordLookup } from "./version_log.ts";
import type { VersionRecords } from "./version_records.ts";

/** A request for a stream. */
export interface StreamRequest {
  service: string;
  requestId: string;
  /** Whether the stream may continue in the response to another request. */
  resumable: boolean;
  /** Id of the last event received, if the caller resumes a stream. */
  lastEventId?: string;
  /** Id of the request that received the first event of a resumed stream. */
  resumedRequestId?: string;
}

/** What the version of a stream is derived from. */
export interface VersionSources {
  records: VersionRecords;
  recent: RecentStreams;
  defaults: DefaultVersionKeeper;
  listed: ListedVersions;
}

/** Decides where the stream of one request may begin or continue. */
export class StreamVersion {
  readonly #req: StreamRequest;
  readonly #sources: VersionSources;
  /** Whether the caller continues a stream. */
  readonly #resumed: boolean;
  /** Id of the request that received the first event, if it is known. */
  readonly #streamId: string | undefined;
  /** The version that the stream has to continue at. */
  #required: string | undefined;
  /** The version of the backend server that may still send the first event. */
  #running: string | undefined;
  /** Versions that a record of the stream may name. */
  #written = new Set<string>();
  /** The version that its record names for certain. */
  #recorded: string | undefined;
  /** Versions that the stream can't begin at, for lack of a record. */
  readonly #barred = new Set<string>();

  constructor(req: StreamRequest, sources: VersionSources) {
    this.#req = req;
    this.#sources = sources;
    this.#resumed = req.resumable && req.lastEventId !== undefined;
    this.#streamId = this.#resumed
      ? req.resumedRequestId || undefined
      : req.requestId;
  }

  /** Finds out the version of a resumed stream; false if it is not known. */
  async resolve(signal: AbortSignal): Promise<boolean> {
    if (!this.#resumed) return true;
    this.#required = await this.#find(signal);
    return this.#required !== undefined;
  }

  async #find(signal: AbortSignal): Promise<string | undefined> {
    const { records, defaults } = this.#sources;
    if (this.#streamId === undefined) return this.#onlyVersion();
    const remembered = records.remembered(this.#streamId);
    if (remembered !== undefined) return remembered;
    const found = await records.find(this.#streamId, signal);
    switch (found.end) {
      case RecordLookup.Found:
        this.#noteRecorded(found.version);
        return found.version;
      case RecordLookup.Absent:
        return defaults.complete
          ? defaults.defaultOf(this.#req.service)
          : this.#onlyVersion();
      case RecordLookup.Unknown:
        return undefined;
    }
  }

  /** The default if no stream can have begun at another version. */
  #onlyVersion(): string | undefined {
    const { listed, defaults } = this.#sources;
    const { service } = this.#req;
    const version = defaults.defaultOf(service);
    if (version === undefined) return undefined;
    return listed.isOnly(service, version) ? version : undefined;
  }

  /** Returns the backend servers that the stream may be sent to. */
  select(backends: readonly Backend[]): readonly Backend[] {
    return this.#isUnrestricted()
      ? backends
      : backends.filter((backend) => this.allows(backend));
  }

  #isUnrestricted(): boolean {
    return this.#bound === undefined && this.#barred.size === 0 &&
      (!this.#req.resumable || this.#canRecord());
  }

  /** The only version that the stream may be sent to as things stand. */
  get #bound(): string | undefined {
    return this.#required ?? this.#running;
  }

  /** Whether the stream may be sent to this backend server. */
  allows({ version }: Backend): boolean {
    if (this.#bound !== undefined) return version === this.#bound;
    if (!this.#req.resumable || this.#recorded === version) return true;
    return !this.#barred.has(version) &&
      (this.#canRecord() || this.#mayGoUnrecorded(version));
  }

  #canRecord(): boolean {
    const { listed, records } = this.#sources;
    return listed.reachable && !records.failing;
  }

  /**
   * Prepares to send the stream to this backend server; false if it can't begin
   * at that version. Has to be called before it is sent.
   */
  async prepare({ version }: Backend, signal: AbortSignal): Promise<boolean> {
    if (!this.#needsRecord(version)) return true;
    if (await this.#record(version, signal)) return true;
    if (this.#mayGoUnrecorded(version)) return true;
    this.#barred.add(version);
    return false;
  }

  #needsRecord(version: string): boolean {
    if (!this.#req.resumable || this.#required !== undefined) return false;
    if (this.#written.size > 0) return this.#recorded !== version;
    return !this.#isDefault(version);
  }

  /**
   * Whether a stream without a record is taken for one of this version, also
   * after the log has lost its latest records.
   */
  #isDefault(version: string): boolean {
    const { defaults, listed } = this.#sources;
    const { service } = this.#req;
    return defaults.complete && defaults.defaultOf(service) === version &&
      listed.isOnly(service, version);
  }

  async #record(version: string, signal: AbortSignal): Promise<boolean> {
    if (!this.#canRecord()) return false;
    const { records } = this.#sources;
    this.#recorded = undefined;
    this.#written.add(version);
    const stored = await records.record(this.#req.requestId, version, signal);
    if (stored) this.#noteRecorded(version);
    return stored;
  }

  #noteRecorded(version: string): void {
    this.#recorded = version;
    this.#written = new Set([version]);
  }

  /**
   * Whether a stream of this version without a record, or with one that may not
   * be stored, is rejected later rather than continued at another version.
   */
  #mayGoUnrecorded(version: string): boolean {
    for (const other of this.#written) {
      if (other !== version) return false;
    }
    const { defaults, listed } = this.#sources;
    const { service } = this.#req;
    const defaultVersion = defaults.defaultOf(service);
    if (defaultVersion === version) return true;
    const versions = listed.of(service);
    return defaultVersion === undefined
      ? versions.size === 1
      : !versions.has(defaultVersion);
  }

  /** Notes that the stream is sent to a backend server. */
  sent({ version }: Backend): void {
    this.#running = version;
  }

  /** Notes that the backend server that it was sent to sends no more events. */
  ended(): void {
    this.#running = undefined;
  }

  /** Notes that the first event of a backend server goes to the caller. */
  begun({ version }: Backend): void {
    this.#required ??= version;
    if (!this.#req.resumable || this.#streamId === undefined) return;
    const { records, recent } = this.#sources;
    records.remember(this.#streamId, version);
    recent.add({
      id: this.#streamId,
      service: this.#req.service,
      version,
      recorded: this.#recorded !== undefined,
    });
  }

  /** Notes the end of the response; `complete` if that was the stream's end. */
  close(complete: boolean): void {
    if (this.#streamId === undefined) return;
    const { records, recent } = this.#sources;
    if (complete) recent.delete(this.#streamId);
    const mayHaveRecord = this.#written.size > 0 ||
      records.isRemovalPending(this.#streamId);
    if (!mayHaveRecord) return;
    // The caller of a complete stream resumes it too if its end is lost.
    const resumable = this.#required !== undefined;
    const uncertain = this.#written.size > 0 && this.#recorded === undefined;
    if (resumable || uncertain) records.removeLater(this.#streamId);
    else records.remove(this.#streamId);
  }
}
