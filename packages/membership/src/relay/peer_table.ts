/**
 * The peers of one daemon: those that the source names and those that reported
 * here, with the heads chosen among the ones that answer.
 */
import { createLogger, sleep } from "@sassafrascleat/runtime";
import { PEER_REFRESH_MS } from "../constants.ts";
import { chooseHeads, pullOrder, zoneKeyOf } from "./election.ts";
import type { Members } from "./members.ts";
import type { PeerSource, RelayPeer } from "./peer.ts";
import type { PeerHealth } from "./peer_health.ts";

/** What a peer table works on. */
export interface PeerTableParts {
  self: RelayPeer;
  source: PeerSource;
  members: Members;
  health: PeerHealth;
  /** Daemons of a zone that watch the store. */
  headsPerZone: number;
}

const log = createLogger("relay");

/** Known peers, and the part that this daemon plays among them. */
export class PeerTable {
  readonly #parts: PeerTableParts;
  #listed: RelayPeer[] = [];

  constructor(parts: PeerTableParts) {
    this.#parts = parts;
  }

  /** Every peer known. */
  known(): RelayPeer[] {
    const { self, members } = this.#parts;
    const byId = new Map(this.#listed.map((peer) => [peer.daemonId, peer]));
    for (
      const { daemonId, office, availabilityZone, address } of members.recent()
    ) {
      if (!address) continue;
      byId.set(daemonId, { daemonId, office, availabilityZone, address });
    }
    byId.delete(self.daemonId);
    return [...byId.values()];
  }

  /** Known peers of this daemon's availability zone. */
  ofOwnZone(): RelayPeer[] {
    const key = zoneKeyOf(this.#parts.self);
    return this.known().filter((peer) => zoneKeyOf(peer) === key);
  }

  /** Whether this daemon watches the store for its zone. */
  isHead(): boolean {
    const { self, health, headsPerZone } = this.#parts;
    const live = this.ofOwnZone()
      .filter((peer) => !health.isSuspect(peer.daemonId));
    return chooseHeads(zoneKeyOf(self), [self, ...live], headsPerZone)
      .includes(self);
  }

  /** Peers that answered lately or were not tried, in the order to pull from. */
  pullOrder(): RelayPeer[] {
    const { self, health, headsPerZone } = this.#parts;
    const live = this.known()
      .filter((peer) => !health.isSuspect(peer.daemonId));
    return pullOrder(self, live, headsPerZone);
  }

  /** Reads the source once; an unreadable source leaves the list as it is. */
  async refresh(signal: AbortSignal): Promise<void> {
    const peers = await this.#parts.source.peers(signal);
    if (!peers) return log("peers_unreadable", { known: this.#listed.length });
    this.#listed = peers;
    this.#parts.health.retain(
      new Set(this.known().map((peer) => peer.daemonId)),
    );
  }

  /** Reads the source at intervals until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh(signal);
      await sleep(PEER_REFRESH_MS, signal);
    }
  }
}
