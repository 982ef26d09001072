/** The sidecar clients of an entry, created on demand and closed when idle. */
import {
  type Clock,
  runPeriodically,
  type Secret,
} from "@sassafrascleat/runtime";
import { CLIENT_IDLE_MS, CLIENT_SWEEP_MS } from "../constants.ts";
import { SidecarClient } from "./sidecar_client.ts";
import { Watchdog } from "./watchdog.ts";

interface ClientEntry {
  client: SidecarClient;
  usedAtMs: number;
}

/** Holds one client for each sidecar address. */
export class SidecarClients {
  readonly #secret: Secret;
  readonly #clock: Clock;
  readonly #watchdog: Watchdog;
  readonly #entries = new Map<string, ClientEntry>();

  constructor(secret: Secret, clock: Clock) {
    this.#secret = secret;
    this.#clock = clock;
    this.#watchdog = new Watchdog(clock);
  }

  /** Number of open clients. */
  get size(): number {
    return this.#entries.size;
  }

  get(address: string): SidecarClient {
    let slot = this.#entries.get(address);
    if (!slot) {
      slot = {
        client: new SidecarClient(address, this.#secret, this.#watchdog),
        usedAtMs: 0,
      };
      this.#entries.set(address, slot);
    }
    slot.usedAtMs = this.#clock.now();
    return slot.client;
  }

  /** Closes idle clients until `signal` aborts. */
  sweep(signal: AbortSignal): Promise<void> {
    return runPeriodically(CLIENT_SWEEP_MS, signal, () => this.#closeIdle());
  }

  async close(): Promise<void> {
    const slots = [...this.#entries.values()];
    this.#entries.clear();
    await Promise.all(slots.map((slot) => slot.client.close()));
  }

  async #closeIdle(): Promise<void> {
    const limit = this.#clock.now() - CLIENT_IDLE_MS;
    for (const [address, slot] of this.#entries) {
      const busy = slot.client.inFlight > 0 || slot.usedAtMs > limit;
      if (busy) continue;
      this.#entries.delete(address);
      await slot.client.close();
    }
  }
}
