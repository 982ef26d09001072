/**
 * Exchanges the share of one customer with the store. A lower share is applied
 * before it is written and a higher one after the store has acknowledged it, so
 * that the shares in force are never more than the entries in the store. A share
 * never rises by a read alone: a write that was sent before may still lower the
 * entry.
 */
import type { Logger } from "@sassafrascleat/runtime";
import type { CustomerState } from "./customer_state.ts";
import {
  type QuotaShareLog,
  ShareLogEnd,
  type StoredShares,
} from "./quota_share_log.ts";
import {
  type CustomerShares,
  NEGLIGIBLE_SHARE,
  NO_SHARES,
  othersLack,
  type ShareEntry,
  targetShare,
  unallocatedShare,
  withEntry,
  withoutEntries,
} from "./share_ledger.ts";
import { type Instant, REMOVE_AFTER_MS, RENEW_MS } from "./share_lease.ts";

/** Why a share has changed, in logs. */
export enum ShareChange {
  Acquired = "acquired",
  Released = "released",
  /** The entry in the store is lower. */
  Stored = "stored",
  Expired = "expired",
}

/** Options of {@link ShareExchange}. */
export interface ShareExchangeOptions {
  customer: string;
  routerName: string;
  state: CustomerState;
  shareLog: QuotaShareLog;
  log: Logger;
  now: () => Instant;
  /** Whether shares may be acquired although the store was restored. */
  isSettled: () => boolean;
}

/** An entry of another router, and since when it is unchanged. */
interface SeenEntry extends ShareEntry {
  sinceMs: number;
}

/** What the entry of this router is to become. */
interface Plan {
  own: ShareEntry | undefined;
  share: number;
  wanted: number;
  /** Other routers have less than they want. */
  lacking: boolean;
}

/** Smallest part by which a share is lowered when nobody lacks any. */
const RELEASE_RATIO = 0.5;
/** Smallest part by which a share is raised. */
const RAISE_RATIO = 0.1;
/** Change of the wanted share that is recorded. */
const WANTED_RATIO = 0.5;

/** The entry of this router for one customer, and those of the others. */
export class ShareExchange {
  readonly #options: ShareExchangeOptions;
  readonly #seen = new Map<string, SeenEntry>();
  #stored: StoredShares | undefined;
  /** Newest revision that is known, also of an object that has disappeared. */
  #revision = 0;
  #needsFresh = false;

  constructor(options: ShareExchangeOptions) {
    this.#options = options;
  }

  /** The share that no router holds; undefined if it isn't known. */
  get unallocated(): number | undefined {
    return this.#stored && unallocatedShare(this.#stored.shares);
  }

  /** Whether another router has less than it wants, as far as is known. */
  get othersLack(): boolean {
    const { routerName } = this.#options;
    return this.#stored !== undefined &&
      othersLack(this.#stored.shares, routerName);
  }

  /** Whether this router has an entry, as far as is known. */
  get hasEntry(): boolean {
    return this.#own() !== undefined;
  }

  /** Discards what is known of entries that may have been restored. */
  handleStoreRestored(): void {
    this.#seen.clear();
    this.#stored = undefined;
    this.#needsFresh = true;
  }

  /**
   * Reads the object, unless it is known and `poll` is false, and writes this
   * router's entry if it has to change. False if the store has to be asked
   * again soon.
   */
  async run(poll: boolean, signal: AbortSignal): Promise<boolean> {
    const { state, now } = this.#options;
    const isHeld = state.share > 0 || this.hasEntry;
    if (!isHeld && state.wantedShare(now().monotonicMs) === 0) {
      state.low = false;
      return true;
    }
    const mustRead = poll || this.#needsFresh || !this.#stored;
    if (mustRead && !await this.#read(signal)) return false;
    return await this.#write(signal);
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { customer, shareLog, state, now } = this.#options;
    const sent = now();
    const fresh = this.#needsFresh;
    const result = await shareLog.read(customer, signal, { fresh });
    if (result.end === ShareLogEnd.Absent) return this.#noteAbsence(fresh);
    if (result.end !== ShareLogEnd.Ok) return false;
    if (result.revision < this.#revision) return this.#stored !== undefined;
    this.#needsFresh = false;
    this.#note(result);
    const own = this.#own();
    this.#limitTo(own?.share ?? 0);
    if (own) state.lease.confirm(sent);
    return true;
  }

  /** A stale read may be older than the object; true if it is known to be absent. */
  #noteAbsence(fresh: boolean): boolean {
    this.#needsFresh = this.#revision > 0 && !fresh;
    if (this.#needsFresh) return false;
    this.#stored = undefined;
    this.#limitTo(0);
    return true;
  }

  async #write(signal: AbortSignal): Promise<boolean> {
    const { customer, state, shareLog, now } = this.#options;
    const planned = this.#plan();
    if (!planned) {
      state.low = false;
      return true;
    }
    const { shares, entry } = planned;
    const share = entry?.share ?? 0;
    if (share < state.share) this.#change(share, ShareChange.Released);
    const sent = now();
    const revision = this.#stored?.revision;
    const result = await shareLog.write(customer, shares, revision, signal);
    if (result.end !== ShareLogEnd.Ok) {
      this.#needsFresh = true;
      return false;
    }
    this.#note({ shares, revision: result.revision });
    if (entry) state.lease.renew(sent);
    if (!state.lease.isValid(now())) return false;
    state.low = false;
    if (share > state.share) this.#change(share, ShareChange.Acquired);
    return true;
  }

  /** The next content of the object; undefined if it need not change. */
  #plan(): { shares: CustomerShares; entry?: ShareEntry } | undefined {
    const { routerName, shareLog, state, now, isSettled } = this.#options;
    const instant = now();
    const { epoch } = shareLog;
    if (epoch === undefined) return undefined;
    const stored = this.#stored?.shares ?? NO_SHARES;
    const settled = isSettled();
    const canAcquire = settled ||
      this.#stored !== undefined && stored.epoch === epoch;
    const kept = settled
      ? withoutEntries(stored, this.#abandoned(instant.monotonicMs))
      : stored;
    const own = stored.entries.get(routerName);
    const lacking = othersLack(kept, routerName);
    const wanted = state.wantedShare(instant.monotonicMs, lacking);
    const target = targetShare(kept, routerName, wanted);
    const used = Math.min(
      state.share,
      state.usedShare(instant.monotonicMs),
    );
    const share = canAcquire && state.low
      ? Math.max(target, used)
      : Math.max(Math.min(target, state.share), used);
    const plan = { own, share, wanted, lacking };
    if (!this.#isDue(plan, instant)) return undefined;
    const entry = share > 0 || wanted > 0 && state.low
      ? { share, wanted, renewals: (own?.renewals ?? 0) + 1 }
      : undefined;
    if (!entry && !own) return undefined;
    const shares = withEntry(kept, routerName, entry);
    // The mark of a restoration stays until shares may be acquired again.
    return { shares: canAcquire ? { ...shares, epoch } : shares, entry };
  }

  /** Whether the entry has to be written. */
  #isDue({ own, share, wanted, lacking }: Plan, now: Instant): boolean {
    const { state } = this.#options;
    const raise = Math.max(NEGLIGIBLE_SHARE, RAISE_RATIO * share);
    if (share - state.share > raise) return true;
    const stored = own?.share ?? 0;
    const tolerated = lacking ? NEGLIGIBLE_SHARE : RELEASE_RATIO * stored;
    if (stored - share > tolerated) return true;
    if (own && wanted === 0 && share === 0) return true;
    if (state.low && wanted > share + NEGLIGIBLE_SHARE) {
      const recorded = own?.wanted ?? 0;
      if (Math.abs(wanted - recorded) > WANTED_RATIO * wanted) return true;
    }
    return own !== undefined && state.lease.writtenAgoMs(now) >= RENEW_MS;
  }

  /** Routers whose entries have been unchanged for so long that they ended. */
  #abandoned(nowMs: number): Set<string> {
    const names = new Set<string>();
    for (const [name, { sinceMs }] of this.#seen) {
      if (nowMs - sinceMs >= REMOVE_AFTER_MS) names.add(name);
    }
    names.delete(this.#options.routerName);
    return names;
  }

  #note({ shares, revision }: StoredShares): void {
    const { now } = this.#options;
    const sinceMs = now().monotonicMs;
    this.#stored = { shares, revision };
    this.#revision = revision;
    for (const name of this.#seen.keys()) {
      if (!shares.entries.has(name)) this.#seen.delete(name);
    }
    for (const [name, entry] of shares.entries) {
      const before = this.#seen.get(name);
      const isSame = before?.renewals === entry.renewals &&
        before.share === entry.share && before.wanted === entry.wanted;
      if (!isSame) this.#seen.set(name, { ...entry, sinceMs });
    }
  }

  #limitTo(stored: number): void {
    if (stored < this.#options.state.share) {
      this.#change(stored, ShareChange.Stored);
    }
  }

  /** Stops using a share whose lease has ended. */
  expire(): void {
    const { state, now } = this.#options;
    if (state.share > 0 && !state.lease.isValid(now())) {
      this.#change(0, ShareChange.Expired);
    }
  }

  #change(share: number, reason: ShareChange): void {
    const { customer, state, log, now } = this.#options;
    const instant = now();
    const before = state.share;
    state.setShare(share, instant);
    log("quota_share", {
      customer,
      share: toFixed(share),
      before: toFixed(before),
      wanted: toFixed(state.wantedShare(instant.monotonicMs)),
      unallocated: toFixed(this.unallocated ?? 0),
      reason,
      age_ms: Math.round(state.lease.ageMs(instant)),
    });
  }

  #own(): ShareEntry | undefined {
    return this.#stored?.shares.entries.get(this.#options.routerName);
  }
}

/** A share with the precision of logs. */
export function toFixed(share: number): number {
  return Number(share.toFixed(4));
}
