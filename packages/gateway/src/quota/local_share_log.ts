/** Shares of a router that is the only one. */
import {
  type QuotaShareLog,
  ShareLogEnd,
  type ShareLogResult,
  type StoredShares,
} from "./quota_share_log.ts";
import type { CustomerShares } from "./share_ledger.ts";

/** Keeps shares in the memory of the process. */
export class LocalShareLog implements QuotaShareLog {
  readonly epoch = 0;
  readonly #stored = new Map<string, StoredShares>();

  async read(customer: string): Promise<ShareLogResult> {
    const stored = this.#stored.get(customer);
    return stored ? { end: ShareLogEnd.Ok, ...stored } : ABSENT;
  }

  async write(
    customer: string,
    shares: CustomerShares,
    revision: number | undefined,
  ): Promise<ShareLogResult> {
    const before = this.#stored.get(customer)?.revision;
    if (before !== revision) return { end: ShareLogEnd.Conflict };
    const stored = { shares, revision: (before ?? 0) + 1 };
    this.#stored.set(customer, stored);
    return { end: ShareLogEnd.Ok, ...stored };
  }
}

const ABSENT: ShareLogResult = { end: ShareLogEnd.Absent };
