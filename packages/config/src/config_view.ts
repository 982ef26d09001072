/** Read access to the current configuration, for request handling. */
import type {
  Customer,
  ObjectByKind,
  ObjectKind,
  Versioned,
} from "./objects.ts";

/** A read-only view of the current configuration; reads are synchronous. */
export interface ConfigView {
  /** Sequence number of the last change applied; 0 before the first. */
  readonly sequence: number;
  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined;
  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[];
  /**
   * Returns the customer whose API key has this SHA-256 hash, in hexadecimal.
   */
  customerByKeySha256(sha256: string): Customer | undefined;
  /** Calls `listener` after each applied change, until `signal` aborts. */
  onChange(listener: (sequence: number) => void, signal: AbortSignal): void;
}
