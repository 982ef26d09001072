/**
 * What the routers need of the store to share out quotas: one object for each
 * customer that is changed by conditional writes only.
 */
import type { CustomerShares } from "./share_ledger.ts";

/** How a call ended. */
export enum ShareLogEnd {
  Ok = "ok",
  /** No object exists for the customer. */
  Absent = "absent",
  /** Another router has changed the object. */
  Conflict = "conflict",
  /** The call had no effect, or may have one at any later time. */
  Failed = "failed",
}

/** The object of a customer at one revision. */
export interface StoredShares {
  shares: CustomerShares;
  /** Rises with each change, also over restorations of the store. */
  revision: number;
}

/** Result of a read or a write; the content if it succeeded. */
export type ShareLogResult =
  | ({ end: ShareLogEnd.Ok } & StoredShares)
  | { end: Exclude<ShareLogEnd, ShareLogEnd.Ok> };

/** Options of a read. */
export interface ShareReadOptions {
  /** Reads the newest content, at a higher cost. @default false */
  fresh?: boolean;
}

/** Reads and writes the shares of customers. */
export interface QuotaShareLog {
  /** Epoch of the store; undefined before its first response. */
  readonly epoch: number | undefined;
  read(
    customer: string,
    signal: AbortSignal,
    options?: ShareReadOptions,
  ): Promise<ShareLogResult>;
  /**
   * Writes the object if it is still at `revision`, or creates it if that is
   * undefined.
   */
  write(
    customer: string,
    shares: CustomerShares,
    revision: number | undefined,
    signal: AbortSignal,
  ): Promise<ShareLogResult>;
}
