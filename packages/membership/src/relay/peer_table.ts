/**
 * The peers of one daemon: those that the source names and those that reported
 * here, with the heads chosen among the ones that answer.
 */
import { type Clock, createLogger, sleep } from "@sassafrascleat/runtime";
import { PEER_REFRESH_MS, ROLE_CHECK_MS } from "../constants.ts";
import { type HeadCount, pullOrder, splitZone, zoneKeyOf } from "./election.ts";
import type { Members } from "./members.ts";
import type { PeerSource, RelayPeer } from "./peer.ts";
import type { PeerHealth } from "./peer_health.ts";

/** What a peer table works on. */
export interface PeerTableParts {
  self: RelayPeer;
  source: PeerSource;
  members: Members;
  health: PeerHealth;
  clock: Clock;
  headCount: HeadCount;
}

/** What a peer table works out from its sources. */
interface PeerView {
  atMs: number;
  known: RelayPeer[];
  /** Peers that are not suspected, in the order to pull from. */
  order: RelayPeer[];
  isHead: boolean;
}

const log = createLogger("relay");

/** Known peers, and the part that this daemon plays among them. */
export class PeerTable {
  readonly #parts: PeerTableParts;
  #listed: RelayPeer[] = [];
  #view: PeerView | undefined;

  constructor(parts: PeerTableParts) {
    this.#parts = parts;
  }

  /** Every peer known. */
  known(): readonly RelayPeer[] {
    return this.#current().known;
  }

  /** Known peers of this daemon's availability zone. */
  ofOwnZone(): RelayPeer[] {
    const key = zoneKeyOf(this.#parts.self);
    return this.known().filter((peer) => zoneKeyOf(peer) === key);
  }

  /** Whether this daemon watches the store for its zone. */
  isHead(): boolean {
    return this.#current().isHead;
  }

  /** Peers that answered lately or were not tried, in the order to pull from. */
  pullOrder(): readonly RelayPeer[] {
    return this.#current().order;
  }

  /** Passes over a peer that did not answer. */
  lost(daemonId: string): void {
    this.#parts.health.lost(daemonId);
    this.#view = undefined;
  }

  /** The view, worked out anew when it is older than a role check. */
  #current(): PeerView {
    const atMs = this.#parts.clock.now();
    if (this.#view && atMs - this.#view.atMs < ROLE_CHECK_MS) {
      return this.#view;
    }
    const { self, health, headCount } = this.#parts;
    const known = this.#collect();
    const live = known.filter((peer) => !health.isSuspect(peer.daemonId));
    const key = zoneKeyOf(self);
    const zone = live.filter((peer) => zoneKeyOf(peer) === key);
    const { heads } = splitZone(key, [self, ...zone], headCount);
    const order = pullOrder(self, live, headCount);
    this.#view = { atMs, known, order, isHead: heads.includes(self) };
    return this.#view;
  }

  #collect(): RelayPeer[] {
    const { self, members } = this.#parts;
    const byId = new Map(this.#listed.map((peer) => [peer.daemonId, peer]));
    for (const report of members.recent()) {
      const { daemonId, office, availabilityZone, address } = report;
      if (!address) continue;
      byId.set(daemonId, { daemonId, office, availabilityZone, address });
    }
    byId.delete(self.daemonId);
    return [...byId.values()];
  }

  /** Reads the source once; an unreadable source leaves the list as it is. */
  async refresh(signal: AbortSignal): Promise<void> {
    const peers = await this.#parts.source.peers(signal);
    if (!peers) return log("peers_unreadable", { known: this.#listed.length });
    this.#listed = peers;
    this.#view = undefined;
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
