/**
 * Reference model of the log. It observes the creation of every change key in
 * the shared store, replays the changes and records the state after each one.
 */
import { expect } from "@jest/globals";
import type { ObjectStore, PutResult } from "@sassafrascleat/store";
import { StoreStatus } from "@sassafrascleat/store";
import { type Change, ChangeAction, type Snapshot } from "../../change.ts";
import { changeKey, CHANGES_PREFIX } from "../../log_keys.ts";

/** State of one object; `object` is undefined while it is deleted. */
interface OracleObject {
  version: number;
  object: Record<string, unknown> | undefined;
}

type OracleState = ReadonlyMap<string, OracleObject>;

function objectId(kind: string, name: string): string {
  return `${kind}/${name}`;
}

/** All accepted changes, and the state after each one. */
export class LogOracle {
  readonly log: Change[] = [];
  /** Number of created keys whose sequence was already used and archived. */
  strayWrites = 0;
  readonly #states: OracleState[] = [new Map()];

  /** Wraps the shared store so that the oracle observes its writes. */
  observe(inner: ObjectStore): ObjectStore {
    return {
      get: (...args) => inner.get(...args),
      list: (...args) => inner.list(...args),
      watch: (...args) => inner.watch(...args),
      delete: (...args) => inner.delete(...args),
      put: async (key, value, ...rest): Promise<PutResult> => {
        const result = await inner.put(key, value, ...rest);
        const written = result.status === StoreStatus.Ok;
        if (written && key.startsWith(CHANGES_PREFIX)) {
          this.#accept(key, value as Change);
        }
        return result;
      },
    };
  }

  /** Returns the state after `sequence`, without deleted objects. */
  objectsAt(sequence: number): Map<string, OracleObject> {
    const live = [...this.#states[sequence] ?? []]
      .filter(([, { object }]) => object !== undefined);
    return new Map(live);
  }

  /** Returns the sequences of the changes with this patch id. */
  sequencesOf(patchId: string): number[] {
    return this.log
      .filter((change) => change.patchId === patchId)
      .map((change) => change.sequence);
  }

  #accept(key: string, change: Change): void {
    expect(key).toBe(changeKey(change.sequence));
    if (change.sequence <= this.log.length) {
      this.strayWrites += 1;
      return;
    }
    expect(change.sequence).toBe(this.log.length + 1);
    this.log.push(structuredClone(change));
    this.#states.push(this.#replay(change));
  }

  #replay(change: Change): OracleState {
    const before = this.#states.at(-1)!;
    const id = objectId(change.kind, change.name);
    const old = before.get(id);
    const isCreate = change.action === ChangeAction.Create;
    expect(change.baseVersion).toBe(old?.object ? old.version : 0);
    expect(old?.object === undefined).toBe(isCreate);
    const version = (old?.version ?? 0) + 1;
    expect(change.version).toBe(version);
    const object = nextObject(old?.object, change);
    const state = new Map(before).set(id, { version, object });
    checkState(state);
    return state;
  }
}

function nextObject(
  old: Record<string, unknown> | undefined,
  change: Change,
): Record<string, unknown> | undefined {
  if (change.action === ChangeAction.Delete) return undefined;
  const [operation] = change.operations;
  if (change.action === ChangeAction.Create) {
    return operation?.value as Record<string, unknown>;
  }
  const field = (operation?.path ?? "").slice(1);
  return { ...old, [field]: operation?.value };
}

/** Checks the rules that no accepted change may violate. */
function checkState(state: OracleState): void {
  for (const [id, { object }] of state) {
    if (!object) continue;
    if (id.startsWith("policy/")) {
      expect(object.maxAttempts).toBeGreaterThanOrEqual(1);
      expect(object.maxAttempts).toBeLessThanOrEqual(16);
    }
    if (id.startsWith("service/")) {
      const policy = objectId("policy", String(object.policy));
      const pool = objectId("pool", String(object.pool));
      expect(state.get(policy)?.object).toBeDefined();
      expect(state.get(pool)?.object).toBeDefined();
    }
  }
}

/** Converts a replica's objects to the format of the oracle. */
export function objectsInSnapshot(
  snapshot: Snapshot,
): Map<string, OracleObject> {
  return new Map(snapshot.objects.map(({ kind, name, version, object }) => [
    objectId(kind, name),
    { version, object: object as Record<string, unknown> },
  ]));
}
