/**
 * The configuration relay of one daemon. A few daemons of each availability
 * zone, the heads, watch the store; the others long-poll the heads. The relay
 * runs as several tasks of one process, which share the replica and stop on the
 * same abort signal.
 */
import type { ConfigReplica } from "@sassafrascleat/config";
import type { RelayControl, SequenceReport } from "@sassafrascleat/protocol";
import {
  childAbortController,
  type Clock,
  createRandom,
  type Random,
  rendezvousRank,
  type Secret,
  systemClock,
} from "@sassafrascleat/runtime";
import { setMaxListeners } from "node:events";
import {
  FOLLOWERS_PER_HEAD,
  MIN_HEADS_PER_ZONE,
  PULL_GRACE_MS,
  PULL_WAIT_MS,
  STALE_AFTER_MS,
} from "../constants.ts";
import type { ChangeLogFollower } from "./change_log_follower.ts";
import { Freshness, type Staleness } from "./freshness.ts";
import { Members } from "./members.ts";
import type { PeerSource, RelayPeer } from "./peer.ts";
import { createPeerClient, type PeerClient } from "./peer_client.ts";
import { PeerHealth } from "./peer_health.ts";
import { PeerTable } from "./peer_table.ts";
import type { Presence } from "./presence.ts";
import { PullServer } from "./pull_server.ts";
import { Puller } from "./puller.ts";
import { progressOf, type RelayStatus, summarize } from "./status.ts";
import { StoreReader } from "./store_reader.ts";
import { Survey } from "./survey.ts";

/** Options of a relay. */
export interface RelayOptions {
  daemonId: string;
  office: string;
  availabilityZone: string;
  /** Base URL of this daemon's system listener, `http://ip:port`. */
  address: string;
  /** The active configuration of this daemon; its sequence never decreases. */
  replica: ConfigReplica;
  /** Reads the store into the same replica. */
  changeLogFollower: ChangeLogFollower;
  peers: PeerSource;
  /** Sent to peers to authenticate. */
  secret: Secret;
  /** Writes this daemon's presence while it is a head. @default none */
  presence?: Presence;
  /** @default a client over HTTP */
  client?: PeerClient;
  /** @default the process clock */
  clock?: Clock;
  /** @default seeded by `daemonId` */
  random?: Random;
  /** Minimum number of heads in a zone. @default 2 */
  headsPerZone?: number;
  /** Number of daemons that pull from one head before the zone gets another. @default 8 */
  followersPerHead?: number;
  /** Maximum wait of a long poll, in milliseconds. @default 2000 */
  pullWaitMs?: number;
  /**
   * Time without a reply, beyond the wait, after which a pull is lost, in
   * milliseconds. @default 500
   */
  pullGraceMs?: number;
  /**
   * Age above which the last confirmation by the store is stale, in
   * milliseconds. @default 10000
   */
  staleAfterMs?: number;
}

/** Options with every default applied. */
export type ResolvedRelayOptions =
  & Required<Omit<RelayOptions, "presence">>
  & Pick<RelayOptions, "presence">;

/** Applies the defaults of a relay. */
export function resolveRelayOptions(raw: RelayOptions): ResolvedRelayOptions {
  return {
    ...raw,
    client: raw.client ?? createPeerClient(raw.secret),
    clock: raw.clock ?? systemClock,
    random: raw.random ?? createRandom(rendezvousRank("relay", raw.daemonId)),
    headsPerZone: raw.headsPerZone ?? MIN_HEADS_PER_ZONE,
    followersPerHead: raw.followersPerHead ?? FOLLOWERS_PER_HEAD,
    pullWaitMs: raw.pullWaitMs ?? PULL_WAIT_MS,
    pullGraceMs: raw.pullGraceMs ?? PULL_GRACE_MS,
    staleAfterMs: raw.staleAfterMs ?? STALE_AFTER_MS,
  };
}

/** The relay of one daemon. */
export interface Relay {
  /** Handles the pulls of other daemons; served with `createRelayRouter`. */
  readonly control: RelayControl;
  /** Whether this daemon currently watches the store. */
  isHead(): boolean;
  /** How current this daemon's configuration is known to be; part of readiness. */
  staleness(): Staleness;
  /** Progress of all zones; reads the presence objects once if presence is configured. */
  relayStatus(signal: AbortSignal): Promise<RelayStatus>;
  /** Keeps the replica up to date until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Maximum number of listeners that the tasks of one relay have on its abort signal. */
const MAX_ABORT_LISTENERS = 64;

/** Creates a relay, which is inactive until `run` is called. */
export function createRelay(options: RelayOptions): Relay {
  return new ConfigRelay(resolveRelayOptions(options));
}

class ConfigRelay implements Relay {
  readonly control: PullServer;
  readonly #options: ResolvedRelayOptions;
  readonly #self: RelayPeer;
  readonly #freshness: Freshness;
  readonly #members: Members;
  readonly #peers: PeerTable;
  readonly #puller: Puller;
  readonly #reader: StoreReader;
  readonly #survey: Survey;

  constructor(options: ResolvedRelayOptions) {
    const { clock, random, replica } = options;
    const { daemonId, office, availabilityZone, address } = options;
    const self = { daemonId, office, availabilityZone, address };
    const freshness = new Freshness(clock, options.staleAfterMs);
    const members = new Members(clock);
    const health = new PeerHealth(clock, random);
    const peers = new PeerTable({
      self,
      source: options.peers,
      members,
      health,
      clock,
      headCount: options,
    });
    const dependencies = {
      ...options,
      self,
      freshness,
      members,
      health,
      peers,
    };
    this.#options = options;
    this.#self = self;
    this.#freshness = freshness;
    this.#members = members;
    this.#peers = peers;
    this.#puller = new Puller(dependencies);
    this.#reader = new StoreReader({
      follower: options.changeLogFollower,
      freshness,
      peers,
      puller: this.#puller,
      clock,
      random,
    });
    this.#survey = new Survey({
      ...dependencies,
      puller: this.#puller,
      isStoreUnavailable: () => this.#reader.isUnavailable,
    });
    this.control = new PullServer({ replica, freshness, members, clock });
  }

  isHead(): boolean {
    return this.#peers.isHead();
  }

  staleness(): Staleness {
    return this.#freshness.staleness;
  }

  async relayStatus(signal: AbortSignal): Promise<RelayStatus> {
    const { presence, replica } = this.#options;
    const stored = await presence?.readAll(signal);
    const fromStore = (stored ?? []).flatMap(progressOf);
    const fromMembers = [this.#selfReport(), ...this.#members.recent()];
    return {
      sequence: replica.sequence,
      byOffice: summarize(replica.sequence, [...fromStore, ...fromMembers]),
      staleness: this.staleness(),
      confirmedAgeMs: this.#freshness.ageMs(),
      complete: stored !== undefined,
      head: this.isHead(),
    };
  }

  async run(parent: AbortSignal): Promise<void> {
    const { signal } = childAbortController(parent);
    setMaxListeners(MAX_ABORT_LISTENERS, signal);
    this.control.start(signal);
    await this.#peers.refresh(signal);
    await Promise.all([
      this.#peers.run(signal),
      this.#puller.run(signal),
      this.#reader.run(signal),
      this.#survey.run(signal),
      this.#options.presence?.run(this, signal),
    ]);
    await this.#options.client.close();
  }

  /** Reports of this daemon and of the daemons that recently reported to it. */
  reports(): SequenceReport[] {
    return [this.#selfReport(), ...this.#members.recent()];
  }

  #selfReport(): SequenceReport {
    const sequence = this.#options.replica.sequence;
    return { ...this.#self, sequence, ageMs: 0 };
  }
}
