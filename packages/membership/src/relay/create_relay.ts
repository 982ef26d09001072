/**
 * The configuration relay of one daemon. A few daemons of each availability
 * zone watch the store; the others long-poll them. The parts are tasks of one
 * process that share the replica and end with one abort signal.
 */
import type { ConfigReplica } from "@sassafrascleat/config";
import type { RelayControl, SequenceReport } from "@sassafrascleat/protocol";
import {
  childController,
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
  HEADS_PER_ZONE,
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
  /** Base address of this daemon's system listener, `http://ip:port`. */
  address: string;
  /** The configuration in force here; its sequence never falls. */
  replica: ConfigReplica;
  /** Reads the store into the same replica. */
  changeLogFollower: ChangeLogFollower;
  peers: PeerSource;
  /** Shown to peers. */
  secret: Secret;
  /** Writes this daemon's presence while it is a head. @default none */
  presence?: Presence;
  /** @default a client over HTTP */
  client?: PeerClient;
  /** @default the process clock */
  clock?: Clock;
  /** @default seeded by `daemonId` */
  random?: Random;
  /** Fewest daemons of a zone that watch the store. @default 2 */
  headsPerZone?: number;
  /** Daemons that pull from one head before there is another. @default 8 */
  followersPerHead?: number;
  /** Wait of a long poll, in milliseconds. @default 2000 */
  pullWaitMs?: number;
  /** Silence beyond the wait that makes a pull lost. @default 500 */
  pullGraceMs?: number;
  /** Age beyond which agreement with the store is old. @default 10000 */
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
    headsPerZone: raw.headsPerZone ?? HEADS_PER_ZONE,
    followersPerHead: raw.followersPerHead ?? FOLLOWERS_PER_HEAD,
    pullWaitMs: raw.pullWaitMs ?? PULL_WAIT_MS,
    pullGraceMs: raw.pullGraceMs ?? PULL_GRACE_MS,
    staleAfterMs: raw.staleAfterMs ?? STALE_AFTER_MS,
  };
}

/** The relay of one daemon. */
export interface Relay {
  /** Served to other daemons with `createRelayRouter`. */
  readonly control: RelayControl;
  /** Whether this daemon watches the store now. */
  isHead(): boolean;
  /** What this daemon can say about its configuration; part of readiness. */
  staleness(): Staleness;
  /** Progress of all zones; reads the store once when presence is kept there. */
  relayStatus(signal: AbortSignal): Promise<RelayStatus>;
  /** Keeps the replica up to date until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Listeners that the tasks of one relay put on its abort signal at once. */
const TASK_LISTENERS = 64;

/** Creates a relay; it does nothing before `run`. */
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
    const parts = { ...options, self, freshness, members, health, peers };
    this.#options = options;
    this.#self = self;
    this.#freshness = freshness;
    this.#members = members;
    this.#peers = peers;
    this.#puller = new Puller(parts);
    this.#reader = new StoreReader({
      follower: options.changeLogFollower,
      freshness,
      peers,
      puller: this.#puller,
      clock,
      random,
    });
    this.#survey = new Survey({
      ...parts,
      puller: this.#puller,
      isStoreSilent: () => this.#reader.isSilent,
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
    const elsewhere = (stored ?? []).flatMap(progressOf);
    const here = [this.#ownReport(), ...this.#members.recent()];
    return {
      sequence: replica.sequence,
      byOffice: summarize(replica.sequence, [...elsewhere, ...here]),
      staleness: this.staleness(),
      confirmedAgeMs: this.#freshness.ageMs(),
      complete: stored !== undefined,
      head: this.isHead(),
    };
  }

  async run(parent: AbortSignal): Promise<void> {
    const { signal } = childController(parent);
    setMaxListeners(TASK_LISTENERS, signal);
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

  /** This daemon and everyone that reported to it lately. */
  reports(): SequenceReport[] {
    return [this.#ownReport(), ...this.#members.recent()];
  }

  #ownReport(): SequenceReport {
    const sequence = this.#options.replica.sequence;
    return { ...this.#self, sequence, ageMs: 0 };
  }
}
