/** Which peers did not answer lately, and until when they are passed over. */
import { type Clock, jitter, type Random } from "@sassafrascleat/runtime";
import { SUSPECT_MAX_MS, SUSPECT_MS } from "../constants.ts";

interface Suspicion {
  failures: number;
  untilMs: number;
}

/** Exclusions of peers that double with each lost call. */
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
      SUSPECT_MS * 2 ** (failures - 1),
      SUSPECT_MAX_MS,
    );
    const untilMs = this.#clock.now() + jitter(backoffMs, this.#random);
    this.#suspicions.set(daemonId, { failures, untilMs });
  }

  isSuspect(daemonId: string): boolean {
    const suspicion = this.#suspicions.get(daemonId);
    return suspicion !== undefined && this.#clock.now() < suspicion.untilMs;
  }

  /** Forgets peers that are no longer known. */
  retain(daemonIds: ReadonlySet<string>): void {
    for (const id of this.#suspicions.keys()) {
      if (!daemonIds.has(id)) this.#suspicions.delete(id);
    }
  }
}
