/**
 * In-memory replica of the configuration at one daemon. Changes arrive from the
 * change log and from peers, in any order and possibly more than once. The
 * replica applies each change exactly once, in sequence order, and its sequence
 * never decreases.
 */
import { createLogger } from "@sassafrascleat/runtime";
import { type Change, changeSchema, type Snapshot } from "./change.ts";
import { type AnyObject, ConfigState } from "./config_state.ts";
import { MAX_RECENT_CHANGES, MAX_RECENT_PATCH_IDS } from "./constants.ts";
import {
  type ChangeContent,
  evaluate,
  type Evaluation,
  EvaluationKind,
} from "./evaluate.ts";
import type {
  Customer,
  ObjectByKind,
  ObjectKind,
  Versioned,
} from "./objects.ts";
import { patchDigest } from "./patch_digest.ts";
import { ApplyResult, type ConfigReplica } from "./replica_contract.ts";
import { validateObject } from "./validate.ts";

const log = createLogger("config");

/** Position of an accepted patch in the log and the version it produced. */
export interface AcceptedPatch {
  sequence: number;
  /** Version of the object after the change. */
  version: number;
  /** Digest of the change; missing if the patch was recorded without one. */
  digest?: string;
}

/** Options of a replica. */
export interface ReplicaOptions {
  /** Most accepted changes to hold in memory for peers. @default 4096 */
  maxRecentChanges?: number;
  /** Most accepted patch ids to hold in memory. @default 4096 */
  maxRecentPatchIds?: number;
}

/** A replica that can also evaluate proposals. */
export class MemoryReplica implements ConfigReplica {
  readonly #maxRecentChanges: number;
  readonly #maxRecentPatchIds: number;
  #state = new ConfigState();
  #sequence = 0;
  #changes: Change[] = [];
  #patches = new Map<string, AcceptedPatch>();
  readonly #listeners = new Set<(sequence: number) => void>();

  constructor(options: ReplicaOptions = {}) {
    this.#maxRecentChanges = options.maxRecentChanges ?? MAX_RECENT_CHANGES;
    this.#maxRecentPatchIds = options.maxRecentPatchIds ?? MAX_RECENT_PATCH_IDS;
  }

  get sequence(): number {
    return this.#sequence;
  }

  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined {
    return this.#state.get(kind, name);
  }

  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[] {
    return this.#state.list(kind);
  }

  customerByKeySha256(sha256: string): Customer | undefined {
    return this.#state.customerByKeySha256(sha256);
  }

  onChange(listener: (sequence: number) => void, signal: AbortSignal): void {
    if (signal.aborted) return;
    this.#listeners.add(listener);
    const remove = () => this.#listeners.delete(listener);
    signal.addEventListener("abort", remove, { once: true });
  }

  /** Evaluates a change as the next one, without applying it. */
  evaluate(proposed: ChangeContent): Evaluation {
    return evaluate(this.#state, proposed, true);
  }

  /** Returns an accepted patch if its id is still held in memory. */
  acceptedPatch(patchId: string): AcceptedPatch | undefined {
    return this.#patches.get(patchId);
  }

  /** The lowest sequence after which all accepted patch ids are in memory. */
  get patchIdsCompleteAfter(): number {
    return this.#sequence - this.#patches.size;
  }

  apply(raw: Change): ApplyResult {
    const parsed = changeSchema.safeParse(raw);
    if (!parsed.success) return ApplyResult.Invalid;
    const change = parsed.data;
    if (change.sequence <= this.#sequence) return ApplyResult.AlreadyApplied;
    if (change.sequence !== this.#sequence + 1) return ApplyResult.Gap;
    const evaluation = evaluate(this.#state, change, false);
    if (evaluation.kind !== EvaluationKind.Valid) {
      const { sequence } = change;
      log("change_unusable", { sequence, reason: evaluation.kind });
      return ApplyResult.Invalid;
    }
    this.#put(change, evaluation.version, evaluation.object);
    this.#recordChange(change, evaluation.version);
    this.#notify();
    return ApplyResult.Applied;
  }

  changesAfter(sequence: number, limit: number): Change[] | undefined {
    const availableAfter = this.#sequence - this.#changes.length;
    if (sequence < availableAfter) return undefined;
    const start = sequence - availableAfter;
    return this.#changes.slice(start, start + limit);
  }

  /** The changes that are still held in memory, oldest first. */
  recentChanges(): readonly Change[] {
    return this.#changes;
  }

  snapshot(): Snapshot {
    return {
      sequence: this.#sequence,
      objects: this.#state.objects(),
      deleted: this.#state.deleted(),
      recentPatches: [...this.#patches]
        .map(([patchId, accepted]) => ({ patchId, ...accepted })),
    };
  }

  installSnapshot(snapshot: Snapshot): boolean {
    if (snapshot.sequence <= this.#sequence) return false;
    const state = stateFromSnapshot(snapshot);
    if (!state) {
      log("snapshot_unusable", { sequence: snapshot.sequence });
      return false;
    }
    this.#state = state;
    this.#sequence = snapshot.sequence;
    this.#changes = [];
    this.#patches = new Map(
      snapshot.recentPatches.map(({ patchId, ...accepted }) => [
        patchId,
        accepted,
      ]),
    );
    this.#notify();
    return true;
  }

  #put(change: Change, version: number, object: AnyObject | undefined): void {
    const { kind, name } = change;
    if (object) this.#state.set(kind, version, object);
    else this.#state.remove(kind, name, version);
  }

  #recordChange(change: Change, version: number): void {
    this.#sequence = change.sequence;
    this.#changes.push(change);
    if (this.#changes.length > this.#maxRecentChanges) this.#changes.shift();
    const { sequence } = change;
    const digest = patchDigest(change);
    this.#patches.set(change.patchId, { sequence, version, digest });
    if (this.#patches.size <= this.#maxRecentPatchIds) return;
    const oldest = this.#patches.keys().next().value;
    if (oldest !== undefined) this.#patches.delete(oldest);
  }

  #notify(): void {
    for (const listener of [...this.#listeners]) listener(this.#sequence);
  }
}

/** Builds the state of a snapshot; undefined if an object is invalid. */
function stateFromSnapshot(snapshot: Snapshot): ConfigState | undefined {
  const state = new ConfigState();
  for (const { kind, version, object } of snapshot.objects) {
    const checked = validateObject(kind, object);
    if (!checked.valid) return undefined;
    state.set(kind, version, checked.object);
  }
  for (const { kind, name, version } of snapshot.deleted) {
    state.remove(kind, name, version);
  }
  return state;
}

/** Creates an empty replica. */
export function createConfigReplica(options?: ReplicaOptions): MemoryReplica {
  return new MemoryReplica(options);
}
