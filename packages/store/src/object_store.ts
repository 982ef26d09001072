/**
 * Interface of the platform's object API: small versioned JSON values,
 * conditional writes and long-poll watches. Failures are returned as results
 * instead of being thrown. A write whose response was lost returns `Unknown`,
 * because it may or may not have taken effect.
 */

/** Result of a store call. */
export enum StoreStatus {
  Ok = "ok",
  /** The stored version did not match the expected one; nothing was written. */
  Conflict = "conflict",
  /** The store rejected the call, or no connection to it could be opened. */
  Unavailable = "unavailable",
  /** No valid response was received; a write may have taken effect. */
  Unknown = "unknown",
  /** The value exceeds the store's size limit; nothing was written. */
  TooLarge = "too_large",
}

/** A stored value. Every write increases the key's version by at least 1. */
export interface StoredObject {
  key: string;
  version: number;
  value: unknown;
}

/** Version of a missing key; a write that expects it only creates the key. */
export const ABSENT = 0;

/** Maximum size of a value, in bytes of JSON. */
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

/** A change to a watched key; `object` is undefined if the key was deleted. */
export interface WatchEvent {
  key: string;
  object: StoredObject | undefined;
}

export type WatchResult =
  | { status: StoreStatus.Ok; events: WatchEvent[]; revision: number }
  | StoreFailure;

/** Options of a list call. */
export interface ListOptions {
  prefix: string;
  /** Returns only keys that sort after this one. @default "" */
  after?: string;
  /** Maximum number of objects to return. @default 1000 */
  limit?: number;
}

/** Options of a watch call. */
export interface WatchOptions {
  prefix: string;
  /** Revision of the last list or watch result; only later changes are returned. */
  afterRevision: number;
  /** Maximum time to wait for an event, in milliseconds. */
  waitMs: number;
}

/** The object API. A call that `signal` aborts returns `Unknown`. */
export interface ObjectStore {
  get(key: string, signal?: AbortSignal): Promise<GetResult>;
  /** Writes `value` if the key's version equals `expectedVersion`. */
  put(
    key: string,
    value: unknown,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult>;
  /** Deletes the key if its version equals `expectedVersion`. */
  delete(
    key: string,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult>;
  /** Lists objects in key order. */
  list(options: ListOptions, signal?: AbortSignal): Promise<ListResult>;
  /** Waits until a key with the prefix changes or `waitMs` has passed. */
  watch(options: WatchOptions, signal?: AbortSignal): Promise<WatchResult>;
}
