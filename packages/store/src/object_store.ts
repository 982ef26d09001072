/**
 * The platform's object API as the system uses it: small JSON values with
 * versions, conditional writes and long-poll watches. Results are values; a
 * write whose answer was lost is `Unknown`, never an error and never a success.
 */

/** How a store call ended. */
export enum StoreStatus {
  Ok = "ok",
  /** The condition on the version did not hold; nothing was written. */
  Conflict = "conflict",
  /** The store refused or could not be reached before anything was sent. */
  Unavailable = "unavailable",
  /** No answer came back: a write may have taken effect. */
  Unknown = "unknown",
  /** The value is over the store's limit; nothing was written. */
  TooLarge = "too_large",
}

/** A stored value. Versions of one key grow by at least 1 with every write. */
export interface StoredObject {
  key: string;
  version: number;
  value: unknown;
}

/** Version that a write expects; `ABSENT` means that the key must not exist. */
export const ABSENT = 0;

/** Largest value that the platform takes, in bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

export interface StoreFailure {
  status: StoreStatus.Unavailable | StoreStatus.Unknown;
  message: string;
}

export type GetResult =
  | { status: StoreStatus.Ok; object: StoredObject | undefined }
  | StoreFailure;

export type PutResult =
  | { status: StoreStatus.Ok; version: number }
  | { status: StoreStatus.Conflict; current: StoredObject | undefined }
  | { status: StoreStatus.TooLarge; message: string }
  | StoreFailure;

export type ListResult =
  | { status: StoreStatus.Ok; objects: StoredObject[]; revision: number }
  | StoreFailure;

/** One change below a watched prefix; a deleted key has no object. */
export interface WatchEvent {
  key: string;
  object: StoredObject | undefined;
}

export type WatchResult =
  | { status: StoreStatus.Ok; events: WatchEvent[]; revision: number }
  | StoreFailure;

/** Which keys to list. */
export interface ListOptions {
  prefix: string;
  /** Only keys that sort after this one. @default "" */
  after?: string;
  /** Most objects to return. @default 1000 */
  limit?: number;
}

/** What to watch and for how long. */
export interface WatchOptions {
  prefix: string;
  /** Store revision of the last list or watch result. */
  afterRevision: number;
  /** Longest time to wait for an event, in milliseconds. */
  waitMs: number;
}

/** The object API. Every call ends when `signal` aborts, as `Unknown`. */
export interface ObjectStore {
  get(key: string, signal?: AbortSignal): Promise<GetResult>;
  /** Writes `value` when the key's version equals `expectedVersion`. */
  put(
    key: string,
    value: unknown,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult>;
  /** Deletes the key when its version equals `expectedVersion`. */
  delete(
    key: string,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult>;
  /** Objects in key order. */
  list(options: ListOptions, signal?: AbortSignal): Promise<ListResult>;
  watch(options: WatchOptions, signal?: AbortSignal): Promise<WatchResult>;
}
