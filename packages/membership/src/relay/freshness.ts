/**
 * Tracks when a daemon's configuration was last confirmed to match the store,
 * and whether it has been confirmed at all since the daemon started. Daemons
 * exchange ages rather than timestamps, because the monotonic clocks of two
 * processes are not comparable.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** How current a daemon's active configuration is known to be. */
export enum Staleness {
  /** The store confirmed it recently, directly or through a peer. */
  Current = "current",
  /** It was confirmed since the start, but not recently by the store. */
  Disconnected = "disconnected",
  /** Neither the store nor a quorum of the zone has confirmed it since the start. */
  PossiblyStale = "possibly_stale",
}

/** Records the confirmations of one daemon's configuration. */
export class Freshness {
  readonly #clock: Clock;
  readonly #staleAfterMs: number;
  readonly #startedAtMs: number;
  #confirmedAtMs = -Infinity;
  #isConfirmedByQuorum = false;

  constructor(clock: Clock, staleAfterMs: number) {
    this.#clock = clock;
    this.#staleAfterMs = staleAfterMs;
    this.#startedAtMs = clock.now();
  }

  /** Records that the replica matched the store at `atMs`. */
  confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /** Records that this daemon has caught up with a quorum of its zone. */
  confirmByQuorum(): void {
    this.#isConfirmedByQuorum = true;
  }

  /**
   * Time since the last confirmation, in milliseconds; undefined until there
   * is one that dates from after the start. An older one, reported by a peer,
   * is not sufficient: the configuration may have changed between that time and
   * the start.
   */
  ageMs(): number | undefined {
    if (this.#confirmedAtMs < this.#startedAtMs) return undefined;
    return Math.max(0, this.#clock.now() - this.#confirmedAtMs);
  }

  get staleness(): Staleness {
    const age = this.ageMs();
    if (age === undefined) {
      return this.#isConfirmedByQuorum
        ? Staleness.Disconnected
        : Staleness.PossiblyStale;
    }
    return age <= this.#staleAfterMs
      ? Staleness.Current
      : Staleness.Disconnected;
  }
}
