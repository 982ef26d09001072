/**
 * Asks for fresh hints where old ones hold requests back. Work that was sent
 * and then cancelled, or whose answer was lost, brings no hint: without asking,
 * it would count as queued for ever and nothing would be sent that could tell.
 */
import type { BackendState } from "@sassafrascleat/routing";
import { HINT_STALE_MS } from "../constants.ts";
import type { RenewObserver } from "../sidecar_client/renewer.ts";
import type { SidecarClients } from "../sidecar_client/sidecar_clients.ts";

/** What the refresher works with. */
export interface HintRefresherParts {
  entryId: string;
  clients: SidecarClients;
  observe: RenewObserver;
  /** Aborts when the entry closes. */
  signal: AbortSignal;
}

/** Owns the questions for hints; at most one for each backend server. */
export class HintRefresher {
  readonly #parts: HintRefresherParts;
  readonly #asking = new Set<string>();

  constructor(parts: HintRefresherParts) {
    this.#parts = parts;
  }

  /** Asks those of `states` whose hint is old or missing. */
  refresh(states: readonly BackendState[]): void {
    for (const state of states) {
      const { name } = state.server;
      if (isFresh(state) || this.#asking.has(name)) continue;
      this.#asking.add(name);
      void this.#ask(state).finally(() => this.#asking.delete(name));
    }
  }

  /** A renewal of nothing is answered with a hint. */
  async #ask(state: BackendState): Promise<void> {
    const { clients, entryId, observe, signal } = this.#parts;
    const { name, sidecarAddress } = state.server;
    const client = clients.at(sidecarAddress);
    const reply = await client.renew({ entryId, attempts: [] }, signal);
    if (!signal.aborted) observe(name, reply);
  }
}

function isFresh(state: BackendState): boolean {
  if (!state.hint) return state.sentSinceHint === 0;
  return state.hintAgeMs < HINT_STALE_MS;
}
