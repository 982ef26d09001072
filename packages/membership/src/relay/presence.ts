/**
 * Presence in the store: each head keeps one object with the daemons that
 * report to it. Store writes grow with the number of heads and of changes, not
 * with the number of daemons. Every daemon reads the objects of its own zone
 * from time to time and so learns whom it can pull from.
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

/** What presence needs to know of the relay. */
export interface PresenceSubject {
  isHead(): boolean;
  /** This daemon first, then everyone that reported to it lately. */
  reports(): SequenceReport[];
}

/** Presence objects as a peer source and as a task. */
export interface Presence extends PeerSource {
  /** Every head's object; undefined when the store was unreadable. */
  readAll(signal: AbortSignal): Promise<RelayPresence[] | undefined>;
  /** Reads, and writes while `subject` is a head, until `signal` aborts. */
  run(subject: PresenceSubject, signal: AbortSignal): Promise<void>;
}

/** Options of store-kept presence. */
export interface PresenceOptions {
  store: ObjectStore;
  daemonId: string;
  office: string;
  availabilityZone: string;
  /** @default the process clock */
  clock?: Clock;
  /** @default seeded by `daemonId` */
  random?: Random;
  /** Shortest interval between two writes, in milliseconds. @default 1000 */
  writeMs?: number;
  /** Mean interval between two readings, in milliseconds. @default 30000 */
  readMs?: number;
}

/** Creates store-kept presence. */
export function createStorePresence(options: PresenceOptions): Presence {
  return new StorePresence(options);
}

interface Sighting {
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
  readonly #seen = new Map<string, Sighting>();
  readonly #zonePrefix: string;
  readonly #ownKey: string;
  #read = false;
  #version = ABSENT;
  #written = "";
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
    if (!this.#read) return Promise.resolve(undefined);
    const peers = [...this.#seen.values()]
      .flatMap(({ presence }) => peersOf(presence));
    return Promise.resolve(peers);
  }

  async readAll(signal: AbortSignal): Promise<RelayPresence[] | undefined> {
    const objects = await this.#list(PRESENCE_PREFIX, signal);
    return objects && [...this.#seen.values()].map((s) => s.presence);
  }

  async run(subject: PresenceSubject, signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#readLoop(subject, signal),
      this.#writeLoop(subject, signal),
    ]);
  }

  /** The first successful reading takes in all zones, later ones the own zone. */
  async #readLoop(
    subject: PresenceSubject,
    signal: AbortSignal,
  ): Promise<void> {
    const readMs = this.#options.readMs ?? PRESENCE_READ_MS;
    while (!signal.aborted) {
      const prefix = this.#read ? this.#zonePrefix : PRESENCE_PREFIX;
      const objects = await this.#list(prefix, signal);
      if (objects && subject.isHead()) await this.#removeExpired(signal);
      const pauseMs = this.#read ? readMs : Math.min(readMs, 5_000);
      await sleep(jitter(pauseMs, this.#random), signal);
    }
  }

  async #list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<StoredObject[] | undefined> {
    const result = await this.#store.list({ prefix }, signal);
    if (result.status !== StoreStatus.Ok) return undefined;
    this.#read = true;
    const keys = new Set(result.objects.map((object) => object.key));
    for (const key of this.#seen.keys()) {
      if (key.startsWith(prefix) && !keys.has(key)) this.#seen.delete(key);
    }
    for (const object of result.objects) this.#see(object);
    return result.objects;
  }

  #see(object: StoredObject): void {
    if (this.#seen.get(object.key)?.version === object.version) return;
    const parsed = relayPresenceSchema.safeParse(object.value);
    if (!parsed.success) return log("presence_invalid", { key: object.key });
    this.#seen.set(object.key, {
      version: object.version,
      atMs: this.#clock.now(),
      presence: parsed.data,
    });
  }

  /** Removes objects of the own zone whose head has stopped writing. */
  async #removeExpired(signal: AbortSignal): Promise<void> {
    const nowMs = this.#clock.now();
    for (const [key, { atMs, version }] of this.#seen) {
      const isOther = key.startsWith(this.#zonePrefix) && key !== this.#ownKey;
      if (!isOther || nowMs - atMs < PRESENCE_TTL_MS) continue;
      const result = await this.#store.delete(key, version, signal);
      if (result.status === StoreStatus.Ok) this.#seen.delete(key);
      log("presence_expired", { key, status: result.status });
    }
  }

  async #writeLoop(
    subject: PresenceSubject,
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
      if (signal.aborted || !subject.isHead()) continue;
      const done = await this.#writeIfDue(subject.reports(), signal);
      failures = done ? 0 : failures + 1;
    }
  }

  async #writeIfDue(
    reports: readonly SequenceReport[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { daemonId, office, availabilityZone } = this.#options;
    const members = reports.map((report) => this.#member(report));
    const value = { daemonId, office, availabilityZone, members };
    const text = JSON.stringify(value);
    const nowMs = this.#clock.now();
    const idleMs = nowMs - this.#writtenAtMs;
    if (text === this.#written && idleMs < PRESENCE_KEEPALIVE_MS) return true;
    const result = await this.#store
      .put(this.#ownKey, value, this.#version, signal);
    if (result.status === StoreStatus.Conflict) {
      this.#version = result.current?.version ?? ABSENT;
    }
    if (result.status !== StoreStatus.Ok) return false;
    this.#version = result.version;
    this.#written = text;
    this.#writtenAtMs = nowMs;
    return true;
  }

  #member(report: SequenceReport): PresenceMember {
    const { daemonId, office, availabilityZone, address, sequence } = report;
    const isOwn = office === this.#options.office &&
      availabilityZone === this.#options.availabilityZone;
    const member = { daemonId, address, sequence };
    return isOwn ? member : { ...member, office, availabilityZone };
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
