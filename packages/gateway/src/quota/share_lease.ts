/**
 * The time for which a router may use its share without hearing from the store.
 * The monotonic clock stands still while the host is suspended and the wall
 * clock may jump, so that the larger of both times counts.
 */

/** Readings of both clocks, in milliseconds. */
export interface Instant {
  monotonicMs: number;
  wallMs: number;
}

/** A share is used for this long after its entry was read or written. */
export const LEASE_MS = 20_000;
/**
 * A share is used for this long after its entry was written, even if it is read
 * since: others remove an entry that is unchanged for {@link REMOVE_AFTER_MS}.
 */
const UNRENEWED_LEASE_MS = 30_000;
/** An entry that was seen unchanged for this long is abandoned. */
export const REMOVE_AFTER_MS = 40_000;
/** A holder renews its entry after this time. */
export const RENEW_MS = 18_000;

/** Time between two instants, by the clock that shows more. */
export function elapsedMs(from: Instant, to: Instant): number {
  return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** The lease of one share. Calls count from when they were sent. */
export class ShareLease {
  #written: Instant | undefined;
  #confirmed: Instant | undefined;

  /** The entry was written by a call that was sent at `sent`. */
  renew(sent: Instant): void {
    this.#written = sent;
    this.#confirmed = sent;
  }

  /** The entry was read by a call that was sent at `sent`. */
  confirm(sent: Instant): void {
    if (this.#written) this.#confirmed = sent;
  }

  /** Whether the share may still be used. */
  isValid(now: Instant): boolean {
    return this.#written !== undefined && this.#confirmed !== undefined &&
      elapsedMs(this.#written, now) < UNRENEWED_LEASE_MS &&
      elapsedMs(this.#confirmed, now) < LEASE_MS;
  }

  /** Time since the entry was written; infinite if it never was. */
  writtenAgoMs(now: Instant): number {
    return this.#written ? elapsedMs(this.#written, now) : Infinity;
  }

  /** Time since the entry was read or written; infinite if it never was. */
  ageMs(now: Instant): number {
    return this.#confirmed ? elapsedMs(this.#confirmed, now) : Infinity;
  }
}
