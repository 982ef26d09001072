/**
 * Where the routers keep at which software version streams began. Each service
 * has a default version. A stream that begins at any other one is recorded
 * before it begins, so that a stream without a record began at the default.
 * While several versions are in service, all streams are recorded: a log that
 * has lost its latest records proves nothing by a missing one.
 * The default changes only when no stream that began at it can be resumed any
 * more. In the usual case, one version in service, streams cost no record.
 */

/** What the log says of one stream. */
export enum RecordLookup {
  Found = "found",
  /** The log is reachable and has no record of the stream. */
  Absent = "absent",
  /** The log could not be read. */
  Unknown = "unknown",
}

/** The result of a lookup. */
export type RecordedVersion =
  | { end: RecordLookup.Found; version: string }
  | { end: RecordLookup.Absent | RecordLookup.Unknown };

/** The default versions, as the log has them. */
export interface DefaultVersions {
  /** Default version by service; a service without one is not contained. */
  versions: ReadonlyMap<string, string>;
  /**
   * Whether a missing record proves that the stream began at the default. False
   * after the log has lost its latest changes, until the streams that they may
   * have been about can't be resumed any more.
   */
  complete: boolean;
}

/** The log that all routers share. */
export interface VersionLog {
  /**
   * Records the version of a stream, replacing an earlier record. True once it
   * is stored; false if it is not or may not be.
   */
  record(
    streamId: string,
    version: string,
    signal: AbortSignal,
  ): Promise<boolean>;
  /** Looks up the version of a stream. */
  find(streamId: string, signal: AbortSignal): Promise<RecordedVersion>;
  /** Deletes the record of a stream that can't be resumed any more. */
  remove(streamId: string): void;
  /**
   * Sets the default version of a service if it is still `before`. The outcome
   * is seen where the default versions are observed.
   */
  setDefault(
    service: string,
    version: string,
    before: string | undefined,
  ): Promise<void>;
  /**
   * Declares the log complete again. Called when every stream that began before
   * the loss can't be resumed any more.
   */
  markComplete(): Promise<void>;
}
