/**
 * Presence objects in the store: each head writes one object that lists the
 * daemons that report to it. The number of store writes grows with the number
 * of heads and of changes, not with the number of daemons. Every daemon
 * periodically reads the objects of its zone to discover peers to pull from.
 */
import {
  type PresenceMember,
  type RelayPresence,
  relayPresenceSchema,
  type SequenceReport,
} from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  createRandom,
  jitter,
  type Random,
  rendezvousRank,
  sleep,
  systemClock,
} from "@sassafrascleat/runtime";
import {
  ABSENT,
  type ObjectStore,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import {
  PRESENCE_KEEPALIVE_MS,
  PRESENCE_PREFIX,
  PRESENCE_READ_MS,
  PRESENCE_TTL_MS,
  PRESENCE_WRITE_MS,
} from "../constants.ts";
import type { PeerSource, RelayPeer } from "./peer.ts";

/** The methods of a relay that presence uses. */
export interface PresenceReporter {
  isHead(): boolean;
  /** Reports of this daemon, first, and of those that recently reported to it. */
  reports(): SequenceReport[];
}

/** Reads and writes presence objects, and lists peers from them. */
export interface Presence extends PeerSource {
  /** The presence objects of all heads; undefined if the store could not be read. */
  readAll(signal: AbortSignal): Promise<RelayPresence[] | undefined>;
  /** Reads periodically, and writes while `relay` is a head, until `signal` aborts. */
  run(relay: PresenceReporter, signal: AbortSignal): Promise<void>;
}

/** Options of presence in the store. */
export interface PresenceOptions {
  store: ObjectStore;
  daemonId: string;
  office: string;
  availabilityZone: string;
  /** @default the process clock */
  clock?: Clock;
  /** @default seeded by `daemonId` */
  random?: Random;
  /** Mean interval between writes while reports change, in milliseconds. @default 1000 */
  writeMs?: number;
  /** Mean interval between two reads, in milliseconds. @default 30000 */
  readMs?: number;
}

/** Creates presence that is stored in `store`. */
export function createStorePresence(options: PresenceOptions): Presence {
  return new StorePresence(options);
}

interface ObservedPresence {
  version: number;
  atMs: number;
  presence: RelayPresence;
}

const log = createLogger("relay");

class StorePresence implements Presence {
  readonly #store: ObjectStore;
  readonly #options: PresenceOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #observed = new Map<string, ObservedPresence>();
  readonly #zonePrefix: string;
  readonly #ownKey: string;
  #hasRead = false;
  #version = ABSENT;
  #lastWritten = "";
  #writtenAtMs = -Infinity;

  constructor(options: PresenceOptions) {
    const { office, availabilityZone, daemonId } = options;
    this.#store = options.store;
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ??
      createRandom(rendezvousRank("presence", daemonId));
    this.#zonePrefix = `${PRESENCE_PREFIX}${office}/${availabilityZone}/`;
    this.#ownKey = this.#zonePrefix + daemonId;
  }

  peers(): Promise<RelayPeer[] | undefined> {
    if (!this.#hasRead) return Promise.resolve(undefined);
    const peers = [...this.#observed.values()]
      .flatMap(({ presence }) => peersOf(presence));
    return Promise.resolve(peers);
  }

  async readAll(signal: AbortSignal): Promise<RelayPresence[] | undefined> {
    const objects = await this.#list(PRESENCE_PREFIX, signal);
    return objects && [...this.#observed.values()].map((s) => s.presence);
  }

  async run(relay: PresenceReporter, signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#readLoop(relay, signal),
      this.#writeLoop(relay, signal),
    ]);
  }

  /** Reads all zones until a read succeeds, then this daemon's zone only. */
  async #readLoop(
    relay: PresenceReporter,
    signal: AbortSignal,
  ): Promise<void> {
    const readMs = this.#options.readMs ?? PRESENCE_READ_MS;
    while (!signal.aborted) {
      const prefix = this.#hasRead ? this.#zonePrefix : PRESENCE_PREFIX;
      const objects = await this.#list(prefix, signal);
      if (objects && relay.isHead()) await this.#removeExpired(signal);
      const pauseMs = this.#hasRead ? readMs : Math.min(readMs, 5_000);
      await sleep(jitter(pauseMs, this.#random), signal);
    }
  }

  async #list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<StoredObject[] | undefined> {
    const result = await this.#store.list({ prefix }, signal);
    if (result.status !== StoreStatus.Ok) return undefined;
    this.#hasRead = true;
    const keys = new Set(result.objects.map((object) => object.key));
    for (const key of this.#observed.keys()) {
      if (key.startsWith(prefix) && !keys.has(key)) this.#observed.delete(key);
    }
    for (const object of result.objects) this.#recordObject(object);
    return result.objects;
  }

  #recordObject(object: StoredObject): void {
    if (this.#observed.get(object.key)?.version === object.version) return;
    const parsed = relayPresenceSchema.safeParse(object.value);
    if (!parsed.success) return log("presence_invalid", { key: object.key });
    this.#observed.set(object.key, {
      version: object.version,
      atMs: this.#clock.now(),
      presence: parsed.data,
    });
  }

  /** Deletes objects in this daemon's zone whose heads have stopped writing. */
  async #removeExpired(signal: AbortSignal): Promise<void> {
    const nowMs = this.#clock.now();
    for (const [key, { atMs, version }] of this.#observed) {
      const isOther = key.startsWith(this.#zonePrefix) && key !== this.#ownKey;
      if (!isOther || nowMs - atMs < PRESENCE_TTL_MS) continue;
      const result = await this.#store.delete(key, version, signal);
      if (result.status === StoreStatus.Ok) this.#observed.delete(key);
      log("presence_expired", { key, status: result.status });
    }
  }

  async #writeLoop(
    relay: PresenceReporter,
    signal: AbortSignal,
  ): Promise<void> {
    const writeMs = this.#options.writeMs ?? PRESENCE_WRITE_MS;
    let failures = 0;
    while (!signal.aborted) {
      const backoffMs = Math.min(
        writeMs * 2 ** failures,
        PRESENCE_KEEPALIVE_MS,
      );
      await sleep(jitter(backoffMs, this.#random), signal);
      if (signal.aborted || !relay.isHead()) continue;
      const isWritten = await this.#writeIfDue(relay.reports(), signal);
      failures = isWritten ? 0 : failures + 1;
    }
  }

  async #writeIfDue(
    reports: readonly SequenceReport[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { daemonId, office, availabilityZone } = this.#options;
    const members = reports.map((report) => this.#toPresenceMember(report));
    const value = { daemonId, office, availabilityZone, members };
    const text = JSON.stringify(value);
    const nowMs = this.#clock.now();
    const idleMs = nowMs - this.#writtenAtMs;
    if (text === this.#lastWritten && idleMs < PRESENCE_KEEPALIVE_MS) {
      return true;
    }
    const result = await this.#store
      .put(this.#ownKey, value, this.#version, signal);
    if (result.status === StoreStatus.Conflict) {
      this.#version = result.current?.version ?? ABSENT;
    }
    if (result.status !== StoreStatus.Ok) return false;
    this.#version = result.version;
    this.#lastWritten = text;
    this.#writtenAtMs = nowMs;
    return true;
  }

  #toPresenceMember(report: SequenceReport): PresenceMember {
    const { daemonId, office, availabilityZone, address, sequence } = report;
    const isSameZone = office === this.#options.office &&
      availabilityZone === this.#options.availabilityZone;
    const member = { daemonId, address, sequence };
    return isSameZone ? member : { ...member, office, availabilityZone };
  }
}

function peersOf(presence: RelayPresence): RelayPeer[] {
  return presence.members.flatMap((member) => {
    if (!member.address) return [];
    return [{
      daemonId: member.daemonId,
      office: member.office ?? presence.office,
      availabilityZone: member.availabilityZone ?? presence.availabilityZone,
      address: member.address,
    }];
  });
}
