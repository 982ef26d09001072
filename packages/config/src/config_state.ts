/** All configuration objects at one point in the change log. */
import type { Snapshot } from "./change.ts";
import {
  type Customer,
  type ObjectByKind,
  ObjectKind,
  type Versioned,
} from "./objects.ts";

/** Any configuration object. */
export type AnyObject = ObjectByKind[ObjectKind];

/** Read access to objects, for reference checks. */
export interface ObjectReader {
  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined;
  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[];
}

type ObjectMap = Map<string, Versioned<AnyObject>>;

function byName(a: { name: string }, b: { name: string }): number {
  return a.name < b.name ? -1 : 1;
}

/** Objects and the last versions of deleted objects, by kind and name. */
export class ConfigState implements ObjectReader {
  readonly #objects: Record<ObjectKind, ObjectMap>;
  readonly #sortedByName = new Map<ObjectKind, Versioned<AnyObject>[]>();
  readonly #deleted: Record<ObjectKind, Map<string, number>>;
  readonly #customersByKey = new Map<string, Customer>();

  constructor() {
    const kinds = Object.values(ObjectKind);
    const maps = kinds.map((kind) => [kind, new Map()]);
    this.#objects = Object.fromEntries(maps);
    const versions = kinds.map((kind) => [kind, new Map()]);
    this.#deleted = Object.fromEntries(versions);
  }

  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined {
    return this.#objects[kind].get(name) as
      | Versioned<ObjectByKind[K]>
      | undefined;
  }

  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[] {
    let sorted = this.#sortedByName.get(kind);
    if (!sorted) {
      sorted = [...this.#objects[kind].values()];
      sorted.sort((a, b) => byName(a.object, b.object));
      this.#sortedByName.set(kind, sorted);
    }
    return sorted.slice() as Versioned<ObjectByKind[K]>[];
  }

  customerByKeySha256(sha256: string): Customer | undefined {
    return this.#customersByKey.get(sha256);
  }

  /**
   * Returns the last version of an object, deleted or not; 0 if it never
   * existed.
   */
  lastVersion(kind: ObjectKind, name: string): number {
    return this.#objects[kind].get(name)?.version ??
      this.#deleted[kind].get(name) ?? 0;
  }

  /** Adds or replaces an object with the given version. */
  set(kind: ObjectKind, version: number, object: AnyObject): void {
    this.#removeApiKeys(kind, object.name);
    this.#objects[kind].set(object.name, { version, object });
    this.#sortedByName.delete(kind);
    this.#deleted[kind].delete(object.name);
    if (kind !== ObjectKind.Customer) return;
    const customer = object as Customer;
    for (const sha256 of customer.keySha256) {
      this.#customersByKey.set(sha256, customer);
    }
  }

  /**
   * Deletes an object; if it is re-created, its versions continue after
   * `version`.
   */
  remove(kind: ObjectKind, name: string, version: number): void {
    this.#removeApiKeys(kind, name);
    this.#objects[kind].delete(name);
    this.#sortedByName.delete(kind);
    this.#deleted[kind].set(name, version);
  }

  /** Returns all objects for a snapshot, ordered by kind and name. */
  objects(): Snapshot["objects"] {
    return Object.values(ObjectKind).flatMap((kind) =>
      this.list(kind).map(({ version, object }) => ({
        kind,
        name: object.name,
        version,
        object,
      }))
    );
  }

  /** Returns the deleted objects for a snapshot, ordered by kind and name. */
  deleted(): Snapshot["deleted"] {
    return Object.values(ObjectKind).flatMap((kind) =>
      [...this.#deleted[kind]]
        .map(([name, version]) => ({ kind, name, version }))
        .sort(byName)
    );
  }

  #removeApiKeys(kind: ObjectKind, name: string): void {
    if (kind !== ObjectKind.Customer) return;
    const old = this.get(ObjectKind.Customer, name);
    for (const sha256 of old?.object.keySha256 ?? []) {
      this.#customersByKey.delete(sha256);
    }
  }
}
