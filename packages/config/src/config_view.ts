/** What request handling reads of the configuration in force at a daemon. */
import type {
  Customer,
  ObjectByKind,
  ObjectKind,
  Versioned,
} from "./objects.ts";

/** A read-only view of the configuration in force; never waits. */
export interface ConfigView {
  /** Sequence number of the last change applied; 0 before the first. */
  readonly sequence: number;
  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined;
  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[];
  /** The customer whose API key has this SHA-256 in hexadecimal. */
  customerByKeySha256(sha256: string): Customer | undefined;
  /** Calls `listener` after each change in force, until `signal` aborts. */
  onChange(listener: (sequence: number) => void, signal: AbortSignal): void;
}
