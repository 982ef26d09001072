/** The change log as operators' requests and daemons use it. */
import type { Change } from "./change.ts";
import type { Proposal } from "./evaluate.ts";
import type { Issue } from "./issue.ts";
import type { ObjectKind } from "./objects.ts";

/** How a proposal ended. */
export enum ProposeKind {
  /** The change stands in the log. */
  Accepted = "accepted",
  /** It was built on another version than the one in force; rejected. */
  Outdated = "outdated",
  /** It breaks a schema or a reference; rejected. */
  Invalid = "invalid",
  /** The store could not be used; nothing was written by this call. */
  NotRun = "not_run",
  /** The store's answer was lost; ask again with the same patch id. */
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
  /** Version in force; 0 when the object does not exist. */
  currentVersion: number;
  /** The last changes to the object after the stated version, oldest first. */
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

/** A proposal, which may be a repeat of one whose outcome is unknown. */
export interface ProposeRequest extends Proposal {
  /**
   * The same patch id was sent before and its outcome is unknown: a store that
   * can't be used then gives `Unknown`, since the earlier call may have been
   * accepted. @default false
   */
  repeated?: boolean;
}

/** How a read of the log ended. */
export enum LogReadStatus {
  Ok = "ok",
  /** The store could not be used, or the log can't be read on. */
  Unavailable = "unavailable",
}

export interface LogUnavailable {
  status: LogReadStatus.Unavailable;
  message: string;
}

/** Result of a catch-up; `revision` is the store's, to watch from. */
export type CatchUpResult =
  | { status: LogReadStatus.Ok; sequence: number; revision: number }
  | LogUnavailable;

/** Which entries of the audit trail to read; newest first. */
export interface HistoryQuery {
  kind?: ObjectKind;
  name?: string;
  /** Earliest acceptance time, ISO 8601. */
  since?: string;
  /** Latest acceptance time, ISO 8601. */
  until?: string;
  /** Only entries below this sequence. */
  before?: number;
  /** Most entries to return. @default 100 */
  limit?: number;
}

export type HistoryResult =
  | { status: LogReadStatus.Ok; changes: Change[] }
  | LogUnavailable;

/** The change log of configuration: acceptance, replay and audit trail. */
export interface ChangeLog {
  /** Tries to add a change at the end of the log. */
  propose(req: ProposeRequest, signal: AbortSignal): Promise<ProposeOutcome>;
  /** Brings the replica up to the end of the log. */
  catchUp(signal: AbortSignal): Promise<CatchUpResult>;
  /** Keeps the replica at the end of the log until the abort. */
  follow(signal: AbortSignal): Promise<void>;
  /** Reads the audit trail, archived entries included. */
  history(query: HistoryQuery, signal: AbortSignal): Promise<HistoryResult>;
  /** Writes a snapshot and archives old changes when they are due. */
  maintain(signal: AbortSignal): Promise<void>;
}
