/**
 * The task that long-polls peers. It uses the first peer of the pull order that
 * answers and whose configuration is current. A peer that is unresponsive,
 * unreachable or lagging is skipped for a time.
 */
import type { ConfigReplica } from "@sassafrascleat/config";
import type { PullReply, PullRequest } from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  LAGGING_PEER_SKIP_MS,
  PULL_PAUSE_MS,
  ROLE_CHECK_INTERVAL_MS,
} from "../constants.ts";
import { applyReply } from "./apply_reply.ts";
import { type Freshness, Staleness } from "./freshness.ts";
import type { Members } from "./members.ts";
import type { RelayPeer } from "./peer.ts";
import type { PeerClient } from "./peer_client.ts";
import type { PeerHealth } from "./peer_health.ts";
import type { PeerTable } from "./peer_table.ts";

/** Dependencies and options of a puller. */
export interface PullerDependencies {
  self: RelayPeer;
  replica: ConfigReplica;
  freshness: Freshness;
  members: Members;
  health: PeerHealth;
  peers: PeerTable;
  client: PeerClient;
  clock: Clock;
  random: Random;
  /** Maximum wait of a long poll, in milliseconds. */
  pullWaitMs: number;
  /** Time without a reply, beyond the wait, after which a pull is lost, in milliseconds. */
  pullGraceMs: number;
  /** Age above which a peer's last confirmation by the store is stale, in milliseconds. */
  staleAfterMs: number;
}

const log = createLogger("relay");

/** Pulls configuration from peers. */
export class Puller {
  readonly #dependencies: PullerDependencies;
  readonly #skippedUntilMs = new Map<string, number>();
  #lastReplyAtMs: number;
  #target: string | undefined;

  constructor(dependencies: PullerDependencies) {
    this.#dependencies = dependencies;
    this.#lastReplyAtMs = dependencies.clock.now();
  }

  /** Time since the last reply of any peer, in milliseconds. */
  silentMs(): number {
    return this.#dependencies.clock.now() - this.#lastReplyAtMs;
  }

  /** The daemon ID of the peer last pulled from. */
  get target(): string | undefined {
    return this.#target;
  }

  /** Pulls until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peer = this.#shouldPull() ? this.#choosePeer() : undefined;
      if (peer) await this.#pullFrom(peer, signal);
      else await sleep(ROLE_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Pulls from `peer` once and applies the reply; undefined if none arrived in time. */
  async pullOnce(
    peer: RelayPeer,
    waitMs: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PullReply | undefined> {
    const { client, clock, freshness, health, replica } = this.#dependencies;
    const sentAtMs = clock.now();
    const req = this.#createRequest(waitMs);
    const reply = await client.pull(peer, req, timeoutMs, signal);
    if (reply) health.answered(peer.daemonId);
    if (!reply || signal.aborted) return undefined;
    this.#lastReplyAtMs = clock.now();
    const caughtUp = applyReply(replica, reply);
    if (caughtUp && reply.confirmedAgeMs !== undefined) {
      const repliedAtMs = sentAtMs + (reply.waitedMs ?? 0);
      freshness.confirm(repliedAtMs - reply.confirmedAgeMs);
    }
    return reply;
  }

  /** Whether to pull: a head does so only while its replica is not confirmed as current. */
  #shouldPull(): boolean {
    const { freshness, peers } = this.#dependencies;
    return !peers.isHead() || freshness.staleness !== Staleness.Current;
  }

  #choosePeer(): RelayPeer | undefined {
    const nowMs = this.#dependencies.clock.now();
    const order = this.#dependencies.peers.pullOrder();
    const isSkipped = (peer: RelayPeer) =>
      (this.#skippedUntilMs.get(peer.daemonId) ?? 0) > nowMs;
    return order.find((peer) => !isSkipped(peer)) ?? order[0];
  }

  async #pullFrom(peer: RelayPeer, signal: AbortSignal): Promise<void> {
    const { peers, pullWaitMs, pullGraceMs, random, replica } =
      this.#dependencies;
    this.#setTarget(peer);
    const sequenceBefore = replica.sequence;
    const timeoutMs = pullWaitMs + pullGraceMs;
    const reply = await this.pullOnce(peer, pullWaitMs, timeoutMs, signal);
    if (!reply && !signal.aborted) peers.lost(peer.daemonId);
    if (!reply) return;
    if (this.#isLagging(reply, sequenceBefore)) this.#skipForNow(peer);
    else this.#skippedUntilMs.delete(peer.daemonId);
    if (reply.sequence > sequenceBefore) {
      await sleep(jitter(PULL_PAUSE_MS, random), signal);
    }
  }

  /**
   * Whether the peer is behind this daemon, has no recent confirmation, or sent
   * changes that do not apply.
   */
  #isLagging(reply: PullReply, sequenceBefore: number): boolean {
    const { replica, staleAfterMs } = this.#dependencies;
    const age = reply.confirmedAgeMs ?? Infinity;
    const delivered = Math.max(
      sequenceBefore,
      reply.changes.at(-1)?.sequence ?? 0,
    );
    return age > staleAfterMs || reply.sequence < sequenceBefore ||
      replica.sequence < delivered;
  }

  #skipForNow(peer: RelayPeer): void {
    const { clock, random } = this.#dependencies;
    const untilMs = clock.now() + jitter(LAGGING_PEER_SKIP_MS, random);
    this.#skippedUntilMs.set(peer.daemonId, untilMs);
    if (this.#skippedUntilMs.size > 64) this.#dropExpired();
  }

  #dropExpired(): void {
    const nowMs = this.#dependencies.clock.now();
    for (const [id, untilMs] of this.#skippedUntilMs) {
      if (untilMs <= nowMs) this.#skippedUntilMs.delete(id);
    }
  }

  #setTarget(peer: RelayPeer): void {
    if (this.#target === peer.daemonId) return;
    log("pull_target", { peer: peer.daemonId, before: this.#target });
    this.#target = peer.daemonId;
  }

  #createRequest(waitMs: number): PullRequest {
    const { self, replica, members, peers } = this.#dependencies;
    return {
      daemonId: self.daemonId,
      office: self.office,
      availabilityZone: self.availabilityZone,
      address: self.address || undefined,
      afterSequence: replica.sequence,
      waitMs,
      reports: peers.isHead() ? [] : members.callers(),
    };
  }
}
