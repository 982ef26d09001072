/**
 * How recently a daemon is known to have agreed with the store, and whether it
 * can vouch for its configuration after a start. Ages travel instead of times,
 * since monotonic clocks of two processes have nothing in common.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** What a daemon can say about the configuration that it has in force. */
export enum Staleness {
  /** It agreed with the store a short time ago. */
  Current = "current",
  /** It once agreed, but hears nothing of the store now. */
  Disconnected = "disconnected",
  /** Since its start neither the store nor a quorum of its zone confirmed it. */
  PossiblyStale = "possibly_stale",
}

/** Remembers confirmations of one daemon's configuration. */
export class Freshness {
  readonly #clock: Clock;
  readonly #staleAfterMs: number;
  readonly #startedAtMs: number;
  #confirmedAtMs = -Infinity;
  #quorum = false;

  constructor(clock: Clock, staleAfterMs: number) {
    this.#clock = clock;
    this.#staleAfterMs = staleAfterMs;
    this.#startedAtMs = clock.now();
  }

  /** Records that the replica agreed with the store at `atMs`. */
  confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /** Records that a quorum of the zone's daemons is not ahead. */
  confirmByQuorum(): void {
    this.#quorum = true;
  }

  /**
   * Time since the last agreement, in milliseconds; undefined before the first
   * that happened after the start. An older one, told by a peer, proves
   * nothing: the office may have gone on between that moment and the start.
   */
  ageMs(): number | undefined {
    if (this.#confirmedAtMs < this.#startedAtMs) return undefined;
    return Math.max(0, this.#clock.now() - this.#confirmedAtMs);
  }

  get staleness(): Staleness {
    const age = this.ageMs();
    if (age === undefined) {
      return this.#quorum ? Staleness.Disconnected : Staleness.PossiblyStale;
    }
    return age <= this.#staleAfterMs
      ? Staleness.Current
      : Staleness.Disconnected;
  }
}
