/**
 * Asks the zone's daemons after a start that found no store; with a store that
 * answers, a whole fleet may start without a single survey. The replica takes
 * the highest sequence that they show; a majority of the zone's daemons, this
 * one counted among them but without a vote, makes up the quorum.
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

/** What a survey works on. */
export interface SurveyParts {
  /** Whether a store call has failed since the start. */
  isStoreSilent(): boolean;
  freshness: Freshness;
  peers: PeerTable;
  puller: Puller;
  random: Random;
}

const log = createLogger("relay");

/** Answers that make a quorum of a zone with `peerCount` other daemons. */
export function quorumOf(peerCount: number): number {
  return Math.floor((peerCount + 1) / 2) + 1;
}

/** Surveys the zone until something vouches for the configuration. */
export class Survey {
  readonly #parts: SurveyParts;
  readonly #answered = new Set<string>();

  constructor(parts: SurveyParts) {
    this.#parts = parts;
  }

  /** Ends with the first confirmation, or when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { freshness, isStoreSilent, random } = this.#parts;
    while (!signal.aborted) {
      await sleep(jitter(SURVEY_INTERVAL_MS / 3, random), signal);
      if (freshness.staleness !== Staleness.PossiblyStale) return;
      if (!isStoreSilent()) continue;
      await this.#askAll(signal);
      log("survey", { answered: this.#answered.size });
      if (this.#hasQuorum()) return freshness.confirmByQuorum();
      await sleep(jitter(SURVEY_INTERVAL_MS, random), signal);
    }
  }

  async #askAll(signal: AbortSignal): Promise<void> {
    const { peers } = this.#parts;
    const elsewhere = peers.pullOrder().slice(0, SURVEY_CONCURRENCY);
    const wanted = new Set([...elsewhere, ...peers.ofOwnZone()]);
    const queue = [...wanted]
      .filter((peer) => !this.#answered.has(peer.daemonId));
    const askNext = async () => {
      for (let peer = queue.shift(); peer; peer = queue.shift()) {
        if (signal.aborted || this.#hasQuorum()) return;
        await this.#ask(peer, signal);
      }
    };
    const lanes = Array.from({ length: SURVEY_CONCURRENCY }, askNext);
    await Promise.all(lanes);
  }

  /** A peer that may be stale itself does not count. */
  async #ask(peer: RelayPeer, signal: AbortSignal): Promise<void> {
    const reply = await this.#parts.puller
      .ask(peer, 0, SURVEY_TIMEOUT_MS, signal);
    if (reply?.confirmedAgeMs !== undefined) this.#answered.add(peer.daemonId);
  }

  #hasQuorum(): boolean {
    const zone = this.#parts.peers.ofOwnZone();
    const votes = zone.filter((peer) => this.#answered.has(peer.daemonId));
    return votes.length >= quorumOf(zone.length);
  }
}
