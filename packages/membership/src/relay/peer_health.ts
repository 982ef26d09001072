/** Tracks which peers recently failed to answer, and how long they are excluded. */
import { type Clock, jitter, type Random } from "@sassafrascleat/runtime";
import { PEER_BACKOFF_MAX_MS, PEER_BACKOFF_MS } from "../constants.ts";

interface Suspicion {
  failures: number;
  untilMs: number;
}

/** Excludes peers for a time that doubles with each lost call. */
export class PeerHealth {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #suspicions = new Map<string, Suspicion>();

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  answered(daemonId: string): void {
    this.#suspicions.delete(daemonId);
  }

  lost(daemonId: string): void {
    const failures = (this.#suspicions.get(daemonId)?.failures ?? 0) + 1;
    const backoffMs = Math.min(
      PEER_BACKOFF_MS * 2 ** (failures - 1),
      PEER_BACKOFF_MAX_MS,
    );
    const untilMs = this.#clock.now() + jitter(backoffMs, this.#random);
    this.#suspicions.set(daemonId, { failures, untilMs });
  }

  isSuspect(daemonId: string): boolean {
    const suspicion = this.#suspicions.get(daemonId);
    return suspicion !== undefined && this.#clock.now() < suspicion.untilMs;
  }

  /** Removes all peers but `daemonIds`. */
  retain(daemonIds: ReadonlySet<string>): void {
    for (const id of this.#suspicions.keys()) {
      if (!daemonIds.has(id)) this.#suspicions.delete(id);
    }
  }
}
