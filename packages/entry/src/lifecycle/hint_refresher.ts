/**
 * Requests fresh load hints when old ones prevent requests from being placed.
 * Work that was sent and then cancelled, or whose reply was lost, brings no
 * hint. Without a refresh it would count as queued forever, and no new work
 * would be sent whose reply could correct that.
 */
import type { BackendState } from "@sassafrascleat/routing";
import { HINT_STALE_MS } from "../constants.ts";
import type { RenewObserver } from "../sidecar_client/renewer.ts";
import type { SidecarClients } from "../sidecar_client/sidecar_clients.ts";

/** Dependencies of the refresher. */
export interface HintRefresherParts {
  entryId: string;
  clients: SidecarClients;
  observe: RenewObserver;
  /** Aborts when the entry closes. */
  signal: AbortSignal;
}

/** Requests hints, with at most one request in flight per backend server. */
export class HintRefresher {
  readonly #parts: HintRefresherParts;
  readonly #inFlight = new Set<string>();

  constructor(parts: HintRefresherParts) {
    this.#parts = parts;
  }

  /** Requests hints from the servers in `states` whose hint is old or missing. */
  refresh(states: readonly BackendState[]): void {
    for (const state of states) {
      const { name } = state.server;
      if (isFresh(state) || this.#inFlight.has(name)) continue;
      this.#inFlight.add(name);
      void this.#requestHint(state).finally(() => this.#inFlight.delete(name));
    }
  }

  /** Sends a renewal without attempts; its reply carries a hint. */
  async #requestHint(state: BackendState): Promise<void> {
    const { clients, entryId, observe, signal } = this.#parts;
    const { name, sidecarAddress } = state.server;
    const client = clients.get(sidecarAddress);
    const reply = await client.renew({ entryId, attempts: [] }, signal);
    if (!signal.aborted) observe(name, reply);
  }
}

function isFresh(state: BackendState): boolean {
  if (!state.hint) return state.requestsSentSinceHint === 0;
  return state.hintAgeMs < HINT_STALE_MS;
}
