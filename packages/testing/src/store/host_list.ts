/** The platform's list of hosts, which shows every change late. */
import type { BackendServer } from "@sassafrascleat/protocol";

interface PendingList {
  visibleAt: number;
  hosts: BackendServer[];
}

/** A list of hosts that lags behind what was set. */
export class HostList {
  #visible: BackendServer[] = [];
  #pending: PendingList[] = [];

  /** Sets the list; readers see it after `lagMs`. */
  set(hosts: readonly BackendServer[], lagMs = 0): void {
    const visibleAt = performance.now() + lagMs;
    this.#pending.push({ visibleAt, hosts: [...hosts] });
  }

  /** The list as readers see it now; the last one set that is due wins. */
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
