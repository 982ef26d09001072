/**
 * Queries the daemons of the zone if the store is unavailable after a start. If
 * the store answers, a whole fleet can start without a single survey. The
 * replica is brought to the highest sequence among the replies. The quorum is a
 * majority of the daemons of the zone: this daemon counts towards the size of
 * the zone, but has no vote.
 */
import {
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  SURVEY_CONCURRENCY,
  SURVEY_INTERVAL_MS,
  SURVEY_TIMEOUT_MS,
} from "../constants.ts";
import { type Freshness, Staleness } from "./freshness.ts";
import type { RelayPeer } from "./peer.ts";
import type { PeerTable } from "./peer_table.ts";
import type { Puller } from "./puller.ts";

/** Dependencies of a survey. */
export interface SurveyDependencies {
  /** Whether a store call has failed since the last successful one. */
  isStoreUnavailable(): boolean;
  freshness: Freshness;
  peers: PeerTable;
  puller: Puller;
  random: Random;
}

const log = createLogger("relay");

/** Number of replies that form a quorum in a zone with `peerCount` other daemons. */
export function quorumOf(peerCount: number): number {
  return Math.floor((peerCount + 1) / 2) + 1;
}

/** Surveys the zone until the configuration is confirmed. */
export class Survey {
  readonly #dependencies: SurveyDependencies;
  readonly #answered = new Set<string>();

  constructor(dependencies: SurveyDependencies) {
    this.#dependencies = dependencies;
  }

  /** Runs until the configuration is confirmed by any source, or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { freshness, isStoreUnavailable, random } = this.#dependencies;
    while (!signal.aborted) {
      await sleep(jitter(SURVEY_INTERVAL_MS / 3, random), signal);
      if (freshness.staleness !== Staleness.PossiblyStale) return;
      if (!isStoreUnavailable()) continue;
      await this.#queryPeers(signal);
      log("survey", { answered: this.#answered.size });
      if (this.#hasQuorum()) return freshness.confirmByQuorum();
      await sleep(jitter(SURVEY_INTERVAL_MS, random), signal);
    }
  }

  async #queryPeers(signal: AbortSignal): Promise<void> {
    const { peers } = this.#dependencies;
    const firstInPullOrder = peers.pullOrder().slice(0, SURVEY_CONCURRENCY);
    const targets = new Set([...firstInPullOrder, ...peers.sameZonePeers()]);
    const queue = [...targets]
      .filter((peer) => !this.#answered.has(peer.daemonId));
    const queryNext = async () => {
      for (let peer = queue.shift(); peer; peer = queue.shift()) {
        if (signal.aborted || this.#hasQuorum()) return;
        await this.#queryPeer(peer, signal);
      }
    };
    const workers = Array.from({ length: SURVEY_CONCURRENCY }, queryNext);
    await Promise.all(workers);
  }

  /** Queries one peer; a peer that is possibly stale itself gets no vote. */
  async #queryPeer(peer: RelayPeer, signal: AbortSignal): Promise<void> {
    const reply = await this.#dependencies.puller
      .pullOnce(peer, 0, SURVEY_TIMEOUT_MS, signal);
    if (reply?.confirmedAgeMs !== undefined) this.#answered.add(peer.daemonId);
  }

  #hasQuorum(): boolean {
    const zone = this.#dependencies.peers.sameZonePeers();
    const votes = zone.filter((peer) => this.#answered.has(peer.daemonId));
    return votes.length >= quorumOf(zone.length);
  }
}
