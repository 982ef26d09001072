/** One daemon's link to the shared store, with injected faults and defects. */
import type { Random } from "@sassafrascleat/runtime";
import {
  ABSENT,
  type ObjectStore,
  type PutResult,
  type StoreFailure,
  StoreStatus,
} from "@sassafrascleat/store";
import { ARCHIVE_HEAD_KEY, CHANGES_PREFIX } from "../../log_keys.ts";

/** Defects of the store, to verify that the fuzz test detects them. */
export enum StoreDefect {
  None = "none",
  /** Writes ignore the expected version. */
  Unconditional = "unconditional",
  /** A lost response is reported as an unavailable store. */
  LostAsRefused = "lost_as_refused",
  /** Reads of the archive head find none after a change key was used. */
  HiddenHead = "hidden_head",
}

/** Faults of the next writes on a link. */
export enum WriteFault {
  None = "none",
  /** The write takes effect, but the response is lost. */
  LoseAnswer = "lose_answer",
  /** The write is lost. */
  Drop = "drop",
  /** The write gets no response and takes effect later. */
  Late = "late",
}

/** The state shared by all links: an outage, and writes still in transit. */
export class Network {
  outage = false;
  readonly lateWrites: (() => Promise<unknown>)[] = [];

  /** Executes all writes that are in transit. */
  async deliverLateWrites(): Promise<void> {
    for (const write of this.lateWrites.splice(0)) await write();
  }
}

const REFUSED: StoreFailure = {
  status: StoreStatus.Unavailable,
  message: "refused",
};
const LOST: StoreFailure = { status: StoreStatus.Unknown, message: "lost" };

/** A store accessed over a link that can fail. */
export class FaultyStore implements ObjectStore {
  partitioned = false;
  writeFault = WriteFault.None;
  faultsLeft = 0;
  readonly #inner: ObjectStore;
  readonly #network: Network;
  readonly #random: Random;
  readonly #broken: StoreDefect;
  /** Whether the last list or put was for change keys. */
  #usedChangeKey = false;
  #resumed = Promise.resolve();

  constructor(
    inner: ObjectStore,
    network: Network,
    random: Random,
    broken: StoreDefect,
  ) {
    this.#inner = inner;
    this.#network = network;
    this.#random = random;
    this.#broken = broken;
  }

  async get(key: string) {
    if (await this.#isDown()) return REFUSED;
    const result = await this.#inner.get(key);
    const hidden = key === ARCHIVE_HEAD_KEY && this.#usedChangeKey &&
      this.#broken === StoreDefect.HiddenHead;
    if (!hidden || result.status !== StoreStatus.Ok) return result;
    return { ...result, object: undefined };
  }

  async list(options: Parameters<ObjectStore["list"]>[0]) {
    this.#usedChangeKey = options.prefix === CHANGES_PREFIX;
    return await this.#isDown() ? REFUSED : this.#inner.list(options);
  }

  async watch(options: Parameters<ObjectStore["watch"]>[0]) {
    return await this.#isDown() ? REFUSED : this.#inner.watch(options);
  }

  async delete(key: string, version: number): Promise<PutResult> {
    if (await this.#isDown()) return REFUSED;
    return this.#write(() => this.#inner.delete(key, version));
  }

  async put(key: string, value: unknown, version: number): Promise<PutResult> {
    this.#usedChangeKey = key.startsWith(CHANGES_PREFIX);
    if (await this.#isDown()) return REFUSED;
    if (this.#usedChangeKey) await this.#resumed;
    return this.#write(async () => {
      const expected = this.#broken === StoreDefect.Unconditional
        ? await this.#currentVersion(key)
        : version;
      return this.#inner.put(key, value, expected);
    });
  }

  /** Blocks writes of change keys until the returned function is called. */
  pause(): () => void {
    let release = () => {};
    this.#resumed = new Promise((resolve) => release = resolve);
    return release;
  }

  async #currentVersion(key: string): Promise<number> {
    const read = await this.#inner.get(key);
    if (read.status !== StoreStatus.Ok) return ABSENT;
    return read.object?.version ?? ABSENT;
  }

  /** Yields to other calls at random, then returns whether the link is down. */
  async #isDown(): Promise<boolean> {
    const yields = this.#random.int(0, 4);
    for (let i = 0; i < yields; i++) await Promise.resolve();
    return this.partitioned || this.#network.outage;
  }

  async #write(effect: () => Promise<PutResult>): Promise<PutResult> {
    const fault = this.faultsLeft > 0 ? this.writeFault : WriteFault.None;
    if (fault === WriteFault.None) return effect();
    this.faultsLeft -= 1;
    if (fault === WriteFault.LoseAnswer) await effect();
    if (fault === WriteFault.Late) this.#network.lateWrites.push(effect);
    return this.#broken === StoreDefect.LostAsRefused ? REFUSED : LOST;
  }
}
