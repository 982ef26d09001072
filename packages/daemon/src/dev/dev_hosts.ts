/** The demo's in-process host list, delayed like the platform's. */
import type { HostSource } from "@sassafrascleat/membership";
import type { BackendServer } from "@sassafrascleat/protocol";
import { type Clock, systemClock } from "@sassafrascleat/runtime";

interface ListVersion {
  visibleFromMs: number;
  hosts: BackendServer[];
}

/** A host list whose changes become visible to readers after a delay. */
export class DevHostList implements HostSource {
  readonly #lagMs: number;
  readonly #clock: Clock;
  #versions: ListVersion[] = [];

  constructor(lagMs: number, clock: Clock = systemClock) {
    this.#lagMs = lagMs;
    this.#clock = clock;
  }

  /** Sets the list; the first version is visible at once. */
  set(hosts: BackendServer[]): void {
    const lagMs = this.#versions.length === 0 ? 0 : this.#lagMs;
    const visibleFromMs = this.#clock.now() + lagMs;
    this.#versions.push({ visibleFromMs, hosts });
  }

  list(): Promise<BackendServer[] | undefined> {
    const nowMs = this.#clock.now();
    const visible = this.#versions.filter((v) => v.visibleFromMs <= nowMs);
    const current = visible.at(-1);
    this.#versions = this.#versions.filter((v) =>
      v === current || v.visibleFromMs > nowMs
    );
    return Promise.resolve(current?.hosts);
  }
}
