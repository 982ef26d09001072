/** Interface of the change log, for operator requests and for daemons. */
import type { Change } from "./change.ts";
import type { Proposal } from "./evaluate.ts";
import type { Issue } from "./issue.ts";
import type { ObjectKind } from "./objects.ts";

/** Kinds of outcomes of a proposal. */
export enum ProposeKind {
  /** The change is in the log. */
  Accepted = "accepted",
  /** Rejected: the change is not based on the current version. */
  Outdated = "outdated",
  /** Rejected: the change violates a schema or a reference. */
  Invalid = "invalid",
  /**
   * Not executed, for example because the store was unavailable; nothing was
   * written by this call.
   */
  NotRun = "not_run",
  /**
   * The change may have been accepted, but a store response was lost; retry
   * with the same patch id.
   */
  Unknown = "unknown",
}

export interface Accepted {
  kind: ProposeKind.Accepted;
  sequence: number;
  /** Version of the object after the change. */
  version: number;
}

export interface Outdated {
  kind: ProposeKind.Outdated;
  /** Current version; 0 if the object does not exist. */
  currentVersion: number;
  /** The latest changes to the object since `baseVersion`, oldest first. */
  changesSince: Change[];
}

export interface Invalid {
  kind: ProposeKind.Invalid;
  issues: Issue[];
}

export interface ProposalNotRun {
  kind: ProposeKind.NotRun;
  message: string;
}

export interface ProposalUnknown {
  kind: ProposeKind.Unknown;
  message: string;
}

/** The outcome of a proposal. */
export type ProposeOutcome =
  | Accepted
  | Outdated
  | Invalid
  | ProposalNotRun
  | ProposalUnknown;

/** A proposal, possibly a retry of one whose outcome is unknown. */
export interface ProposeRequest extends Proposal {
  /**
   * Set when the same patch id was sent before and its outcome is unknown. If
   * the store is unavailable, the outcome is then `Unknown` instead of
   * `NotRun`, because the earlier call may have been accepted. @default false
   */
  repeated?: boolean;
}

/** Status of a read of the log. */
export enum LogReadStatus {
  Ok = "ok",
  /** The store is unavailable, or the log can't be read any further. */
  Unavailable = "unavailable",
}

export interface LogUnavailable {
  status: LogReadStatus.Unavailable;
  message: string;
}

/** Result of a catch-up; `revision` is the store revision to watch from. */
export type CatchUpResult =
  | { status: LogReadStatus.Ok; sequence: number; revision: number }
  | LogUnavailable;

/** Filter for entries of the audit trail, which are returned newest first. */
export interface HistoryQuery {
  kind?: ObjectKind;
  name?: string;
  /** Earliest acceptance time, ISO 8601. */
  since?: string;
  /** Latest acceptance time, ISO 8601. */
  until?: string;
  /** Only entries with a lower sequence than this. */
  before?: number;
  /** Maximum number of entries to return. @default 100 */
  limit?: number;
}

export type HistoryResult =
  | { status: LogReadStatus.Ok; changes: Change[] }
  | LogUnavailable;

/** The log of configuration changes: proposals, replay and audit trail. */
export interface ChangeLog {
  /** Tries to append a change to the log. */
  propose(req: ProposeRequest, signal: AbortSignal): Promise<ProposeOutcome>;
  /** Applies all newer changes in the log to the replica. */
  catchUp(signal: AbortSignal): Promise<CatchUpResult>;
  /** Keeps the replica up to date until `signal` aborts. */
  follow(signal: AbortSignal): Promise<void>;
  /** Reads the audit trail, including archived entries. */
  history(query: HistoryQuery, signal: AbortSignal): Promise<HistoryResult>;
  /** Writes a snapshot and archives old changes when they are due. */
  maintain(signal: AbortSignal): Promise<void>;
}
