/** Simulates the platform's list of hosts, which shows changes with a delay. */
import type { BackendServer } from "@sassafrascleat/protocol";

interface PendingList {
  visibleAt: number;
  hosts: BackendServer[];
}

/** A list of hosts whose changes become visible after a delay. */
export class HostList {
  #visible: BackendServer[] = [];
  #pending: PendingList[] = [];

  /** Sets the list; readers see it after `lagMs`. */
  set(hosts: readonly BackendServer[], lagMs = 0): void {
    const visibleAt = performance.now() + lagMs;
    this.#pending.push({ visibleAt, hosts: [...hosts] });
  }

  /** Returns the most recently set list whose delay has passed. */
  read(): BackendServer[] {
    const now = performance.now();
    const due = this.#pending.findLastIndex((item) => item.visibleAt <= now);
    if (due >= 0) {
      this.#visible = this.#pending[due]!.hosts;
      this.#pending = this.#pending.slice(due + 1);
    }
    return this.#visible;
  }
}
