/**
 * The peers of one daemon: those listed by the source and those that reported
 * to it. Heads are selected among the peers that are not excluded.
 */
import { type Clock, createLogger, sleep } from "@sassafrascleat/runtime";
import { PEER_REFRESH_MS, ROLE_CHECK_INTERVAL_MS } from "../constants.ts";
import {
  type HeadCount,
  pullOrder,
  splitZone,
  zoneKeyOf,
} from "./head_selection.ts";
import type { Members } from "./members.ts";
import type { PeerSource, RelayPeer } from "./peer.ts";
import type { PeerHealth } from "./peer_health.ts";

/** Dependencies of a peer table. */
export interface PeerTableDependencies {
  self: RelayPeer;
  source: PeerSource;
  members: Members;
  health: PeerHealth;
  clock: Clock;
  headCount: HeadCount;
}

/** The state that a peer table derives from its dependencies. */
interface PeerView {
  atMs: number;
  known: RelayPeer[];
  /** Peers that are not excluded, in the order in which to pull from them. */
  order: RelayPeer[];
  isHead: boolean;
}

const log = createLogger("relay");

/** Known peers, and whether this daemon is a head among them. */
export class PeerTable {
  readonly #dependencies: PeerTableDependencies;
  #sourcePeers: RelayPeer[] = [];
  #view: PeerView | undefined;

  constructor(dependencies: PeerTableDependencies) {
    this.#dependencies = dependencies;
  }

  /** All known peers. */
  known(): readonly RelayPeer[] {
    return this.#currentView().known;
  }

  /** Known peers in this daemon's availability zone. */
  sameZonePeers(): RelayPeer[] {
    const key = zoneKeyOf(this.#dependencies.self);
    return this.known().filter((peer) => zoneKeyOf(peer) === key);
  }

  /** Whether this daemon watches the store for its zone. */
  isHead(): boolean {
    return this.#currentView().isHead;
  }

  /** Peers that are not excluded after lost calls, in the order in which to pull from them. */
  pullOrder(): readonly RelayPeer[] {
    return this.#currentView().order;
  }

  /** Excludes a peer that did not answer. */
  lost(daemonId: string): void {
    this.#dependencies.health.lost(daemonId);
    this.#view = undefined;
  }

  /** Returns the view; computes it again if it is older than the role check interval. */
  #currentView(): PeerView {
    const atMs = this.#dependencies.clock.now();
    if (this.#view && atMs - this.#view.atMs < ROLE_CHECK_INTERVAL_MS) {
      return this.#view;
    }
    const { self, health, headCount } = this.#dependencies;
    const known = this.#collectPeers();
    const live = known.filter((peer) => !health.isSuspect(peer.daemonId));
    const key = zoneKeyOf(self);
    const zone = live.filter((peer) => zoneKeyOf(peer) === key);
    const { heads } = splitZone(key, [self, ...zone], headCount);
    const order = pullOrder(self, live, headCount);
    this.#view = { atMs, known, order, isHead: heads.includes(self) };
    return this.#view;
  }

  #collectPeers(): RelayPeer[] {
    const { self, members } = this.#dependencies;
    const byId = new Map(
      this.#sourcePeers.map((peer) => [peer.daemonId, peer]),
    );
    for (const report of members.recent()) {
      const { daemonId, office, availabilityZone, address } = report;
      if (!address) continue;
      byId.set(daemonId, { daemonId, office, availabilityZone, address });
    }
    byId.delete(self.daemonId);
    return [...byId.values()];
  }

  /** Reads the source once; if that fails, the previous list remains. */
  async refresh(signal: AbortSignal): Promise<void> {
    const peers = await this.#dependencies.source.peers(signal);
    if (!peers) {
      return log("peers_unreadable", { known: this.#sourcePeers.length });
    }
    this.#sourcePeers = peers;
    this.#view = undefined;
    this.#dependencies.health.retain(
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
