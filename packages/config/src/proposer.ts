/**
 * Appends changes to the log. Creating the key of the next sequence number
 * accepts the change. The proposer has applied every change below that sequence
 * number, so it reliably detects a proposal based on an outdated version.
 */
import {
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  ABSENT,
  type ObjectStore,
  type PutResult,
  putWithReadBack,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import { isDeepStrictEqual } from "node:util";
import { readArchiveHead } from "./archive_head.ts";
import { type Change, ChangeAction, changeSchema } from "./change.ts";
import {
  LogReadStatus,
  ProposeKind,
  type ProposeOutcome,
  type ProposeRequest,
} from "./change_log_contract.ts";
import {
  CONFLICT_BACKOFF_MAX_MS,
  CONFLICT_BACKOFF_MS,
  MAX_CHANGES_SINCE,
  MAX_PROPOSE_ATTEMPTS,
} from "./constants.ts";
import {
  type Evaluation,
  EvaluationKind,
  operationsForCreate,
} from "./evaluate.ts";
import { changeKey } from "./log_keys.ts";
import type { LogReader } from "./log_reader.ts";
import { patchDigest } from "./patch_digest.ts";
import { findPatch } from "./patch_records.ts";
import type { AcceptedPatch, MemoryReplica } from "./replica.ts";
import type { SegmentStore } from "./segments.ts";
import { SerialQueue } from "./serial_queue.ts";
import { issuesFromZodError } from "./validate.ts";

const log = createLogger("config");

/** Dependencies and settings of a proposer. */
export interface ProposerOptions {
  store: ObjectStore;
  replica: MemoryReplica;
  reader: LogReader;
  segments: SegmentStore;
  office: string;
  random: Random;
  /**
   * First delay before checking a write whose response was lost, in
   * milliseconds.
   */
  resolveBackoffMs?: number;
  /** Returns milliseconds since 1970, for the times in the audit trail. */
  wallClock: () => number;
}

/** Whether a change that was written to its key is part of the log. */
enum LogMembership {
  InLog = "in_log",
  /** Its sequence had already been archived with a different change. */
  NotInLog = "stray",
  Unknown = "unknown",
}

/** Returns the value as the store would return it, after a JSON round trip. */
function jsonRoundTrip<T>(value: T): T {
  return JSON.parse(JSON.stringify(value));
}

/** Returns the first outcome of a patch id; a different change is rejected. */
function outcomeOfRepeat(
  req: ProposeRequest,
  first: AcceptedPatch,
): ProposeOutcome {
  const { sequence, version, digest } = first;
  if (digest === undefined || digest === patchDigest(req)) {
    return { kind: ProposeKind.Accepted, sequence, version };
  }
  const issue = {
    path: "/patchId",
    value: req.patchId,
    expected: `a new patch id; this one was accepted for another change, ` +
      `sequence ${sequence}`,
  };
  return { kind: ProposeKind.Invalid, issues: [issue] };
}

function notRun(req: ProposeRequest, message: string): ProposeOutcome {
  if (!req.repeated) return { kind: ProposeKind.NotRun, message };
  const text = `${message}; an earlier call with this patch id may have been ` +
    "accepted, so retry with the same patch id";
  return { kind: ProposeKind.Unknown, message: text };
}

function unknown(message: string): ProposeOutcome {
  const text = `${message}; the change may have been accepted, so retry ` +
    "with the same patch id";
  return { kind: ProposeKind.Unknown, message: text };
}

/** Proposes changes for one office. */
export class Proposer {
  readonly #options: ProposerOptions;
  /** Keeps proposals of this daemon from racing each other for a sequence. */
  readonly #queue = new SerialQueue();

  constructor(options: ProposerOptions) {
    this.#options = options;
  }

  /** Proposes a change, with retries when another change takes its sequence. */
  async propose(
    req: ProposeRequest,
    signal: AbortSignal,
  ): Promise<ProposeOutcome> {
    const outcome = await this.#queue.run(
      signal,
      () => this.#proposeWithRetries(req, signal),
    );
    const notRunMessage =
      "earlier proposals on this daemon took too long; try again";
    return this.#logOutcome(req, outcome ?? notRun(req, notRunMessage));
  }

  async #proposeWithRetries(
    req: ProposeRequest,
    signal: AbortSignal,
  ): Promise<ProposeOutcome> {
    let waitMs = CONFLICT_BACKOFF_MS;
    for (let attempt = 0; attempt < MAX_PROPOSE_ATTEMPTS; attempt++) {
      const outcome = await this.#attempt(req, signal);
      if (outcome) return outcome;
      await sleep(jitter(waitMs, this.#options.random), signal);
      waitMs = Math.min(2 * waitMs, CONFLICT_BACKOFF_MAX_MS);
      if (signal.aborted) break;
    }
    return notRun(
      req,
      "other changes kept taking the next sequence number; try again",
    );
  }

  /** Tries once at the next sequence; undefined if another change took it. */
  async #attempt(
    req: ProposeRequest,
    signal: AbortSignal,
  ): Promise<ProposeOutcome | undefined> {
    const { store, replica, reader } = this.#options;
    const caughtUp = await reader.catchUp(signal);
    if (caughtUp.status !== LogReadStatus.Ok) {
      return notRun(req, caughtUp.message);
    }
    const search = await findPatch(store, replica, req.patchId, signal);
    if (search.status !== LogReadStatus.Ok) return notRun(req, search.message);
    if (search.accepted) return outcomeOfRepeat(req, search.accepted);
    const evaluation = replica.evaluate(req);
    if (evaluation.kind !== EvaluationKind.Valid) {
      return this.#reject(req, evaluation);
    }
    const { version, object } = evaluation;
    const change = this.#toChange(req, version, object);
    const parsed = changeSchema.safeParse(change);
    if (parsed.success) return this.#write(parsed.data, req, signal);
    const issues = issuesFromZodError(change, parsed.error);
    return { kind: ProposeKind.Invalid, issues };
  }

  #toChange(req: ProposeRequest, version: number, object: unknown): Change {
    const { office, replica, wallClock } = this.#options;
    const isCreate = req.action === ChangeAction.Create;
    return jsonRoundTrip({
      sequence: replica.sequence + 1,
      patchId: req.patchId,
      author: req.author,
      office,
      time: new Date(wallClock()).toISOString(),
      kind: req.kind,
      name: req.name,
      action: req.action,
      baseVersion: req.baseVersion,
      operations: isCreate ? operationsForCreate(object) : req.operations,
      version,
    });
  }

  #reject(
    req: ProposeRequest,
    evaluation: Exclude<Evaluation, { kind: EvaluationKind.Valid }>,
  ): ProposeOutcome {
    if (evaluation.kind === EvaluationKind.Invalid) {
      return { kind: ProposeKind.Invalid, issues: evaluation.issues };
    }
    const { currentVersion } = evaluation;
    const changesSince = this.#changesSince(req);
    return { kind: ProposeKind.Outdated, currentVersion, changesSince };
  }

  /**
   * Returns the newest changes in memory to the object since the base version.
   */
  #changesSince(req: ProposeRequest): Change[] {
    return this.#options.replica.recentChanges()
      .filter((change) => change.kind === req.kind && change.name === req.name)
      .filter((change) => (change.version ?? 0) > req.baseVersion)
      .slice(-MAX_CHANGES_SINCE);
  }

  async #write(
    change: Change,
    req: ProposeRequest,
    signal: AbortSignal,
  ): Promise<ProposeOutcome | undefined> {
    const isOwnWrite = (object: StoredObject) =>
      isDeepStrictEqual(object.value, change);
    const key = changeKey(change.sequence);
    const { store, resolveBackoffMs } = this.#options;
    const options = { isOwnWrite, signal, backoffMs: resolveBackoffMs };
    const result = await putWithReadBack(store, key, change, ABSENT, options);
    return this.#settle(change, req, result, signal);
  }

  async #settle(
    change: Change,
    req: ProposeRequest,
    result: PutResult,
    signal: AbortSignal,
  ): Promise<ProposeOutcome | undefined> {
    switch (result.status) {
      case StoreStatus.Conflict:
        return undefined;
      case StoreStatus.Unavailable:
        return notRun(req, result.message);
      case StoreStatus.Unknown:
        return unknown(result.message);
      case StoreStatus.TooLarge:
        return {
          kind: ProposeKind.Invalid,
          issues: [{ path: "", value: change.name, expected: result.message }],
        };
      case StoreStatus.Ok:
        return await this.#confirmWrite(change, result.version, signal);
    }
  }

  /**
   * Applies a written change, or deletes its key and returns undefined if its
   * sequence had already been archived with a different change.
   */
  async #confirmWrite(
    change: Change,
    version: number,
    signal: AbortSignal,
  ): Promise<ProposeOutcome | undefined> {
    const { store, replica } = this.#options;
    const membership = await this.#readMembership(change, signal);
    if (membership === LogMembership.Unknown) {
      return unknown("the store could not be read after the write");
    }
    if (membership === LogMembership.NotInLog) {
      await store.delete(changeKey(change.sequence), version, signal);
      return undefined;
    }
    replica.apply(change);
    return {
      kind: ProposeKind.Accepted,
      sequence: change.sequence,
      version: change.version ?? 0,
    };
  }

  async #readMembership(
    change: Change,
    signal: AbortSignal,
  ): Promise<LogMembership> {
    const { store, segments } = this.#options;
    const head = await readArchiveHead(store, signal);
    if (!head) return LogMembership.Unknown;
    if (head.through < change.sequence) return LogMembership.InLog;
    const segment = segments.segmentOf(change.sequence);
    const archived = await segments.read(segment, signal);
    if (!archived) return LogMembership.Unknown;
    const archivedChange = archived.find((item) =>
      item.sequence === change.sequence
    );
    return archivedChange?.patchId === change.patchId
      ? LogMembership.InLog
      : LogMembership.NotInLog;
  }

  #logOutcome(req: ProposeRequest, outcome: ProposeOutcome): ProposeOutcome {
    log("proposal", {
      patch: req.patchId,
      kind: req.kind,
      name: req.name,
      author: req.author,
      outcome: outcome.kind,
      sequence: outcome.kind === ProposeKind.Accepted
        ? outcome.sequence
        : undefined,
    });
    return outcome;
  }
}
