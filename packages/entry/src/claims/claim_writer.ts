/**
 * Writes the claims of one partition in batches. While one batch is being
 * written the next one collects, so that store writes follow the time a write
 * takes and not the number of requests. An answer that was lost is resolved by
 * reading back: the batch is applied again and finds its own records.
 */
import {
  type Clock,
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  ABSENT,
  type ObjectStore,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import type { EntryMetrics } from "../metrics.ts";
import { applyBatch, type ClaimBatch } from "./apply_batch.ts";
import {
  type ClaimIntent,
  type ClaimPartition,
  claimPartitionSchema,
  type ClaimResult,
  ClaimStatus,
  type SettledClaim,
} from "./claim_record.ts";
import {
  CLAIM_CONFLICT_PAUSE_MS,
  CLAIM_STORE_CALL_MS,
  CLAIM_TIMEOUT_MS,
  MAX_SETTLED_WAITING,
} from "./constants.ts";
import type { WritePacer } from "./write_pacer.ts";

const log = createLogger("entry:claims");

/** What the writers of one entry share. */
export interface ClaimWriterParts {
  store: ObjectStore;
  clock: Clock;
  /** Wall-clock time, for the age of claims. */
  wallClock: Clock;
  random: Random;
  pacer: WritePacer;
  metrics: EntryMetrics;
  /** Aborts when the entry closes. */
  signal: AbortSignal;
}

interface Waiting {
  intent: ClaimIntent;
  resolve: (result: ClaimResult) => void;
}

/** A partition as it was read; undefined when the store gave no answer. */
type ReadResult = { object: StoredObject | undefined } | undefined;

/** Owns the writes to one partition. */
export class ClaimWriter {
  readonly #key: string;
  readonly #parts: ClaimWriterParts;
  #waiting: Waiting[] = [];
  #settled: SettledClaim[] = [];
  #settledSinceMs: number | undefined;
  #writing: Promise<void> | undefined;

  constructor(key: string, parts: ClaimWriterParts) {
    this.#key = key;
    this.#parts = parts;
  }

  /** Resolves when the claim is durable, refused or given up. */
  submit(intent: ClaimIntent): Promise<ClaimResult> {
    return new Promise((resolve) => {
      this.#waiting.push({ intent, resolve });
      this.#write();
    });
  }

  /** Keeps an answer for the next batch; the oldest makes room. */
  settle(settled: SettledClaim): void {
    this.#settledSinceMs ??= this.#parts.clock.now();
    this.#settled.push(settled);
    if (this.#settled.length > MAX_SETTLED_WAITING) this.#settled.shift();
  }

  /** Writes answers that have waited for `delayMs` without a batch. */
  async flush(delayMs: number): Promise<void> {
    const since = this.#settledSinceMs;
    if (since === undefined) return;
    if (this.#parts.clock.now() - since >= delayMs) this.#write();
    await this.#writing;
  }

  #write(): void {
    this.#writing ??= this.#run().finally(() => this.#writing = undefined);
  }

  async #run(): Promise<void> {
    const { pacer, signal } = this.#parts;
    do {
      await pacer.turn(signal);
      const waiting = this.#waiting.splice(0);
      const settled = this.#settled.splice(0);
      this.#settledSinceMs = undefined;
      const intents = waiting.map((it) => it.intent);
      const results = await this.#commit({ intents, settled });
      for (const [i, it] of waiting.entries()) {
        const result = results?.[i] ?? { status: ClaimStatus.Unavailable };
        this.#parts.metrics.claims.inc({ result: result.status });
        it.resolve(result);
      }
    } while (this.#waiting.length > 0);
  }

  /** The results of the batch once they are durable; undefined on giving up. */
  async #commit(batch: ClaimBatch): Promise<ClaimResult[] | undefined> {
    const { clock, wallClock, signal } = this.#parts;
    const giveUpAtMs = clock.now() + CLAIM_TIMEOUT_MS;
    let read = await this.#read();
    while (read && clock.now() < giveUpAtMs && !signal.aborted) {
      const before = this.#parse(read.object);
      if (before === Unreadable) return undefined;
      const applied = applyBatch(before, batch, wallClock.now());
      if (!applied.changed) return applied.results;
      const version = read.object?.version ?? ABSENT;
      const written = await this.#put(applied.partition, version);
      if (written === StoreStatus.Ok) return applied.results;
      if (written === StoreStatus.Unavailable) return undefined;
      if (written === StoreStatus.TooLarge) return undefined;
      await this.#pause();
      read = await this.#read();
    }
    return undefined;
  }

  async #read(): Promise<ReadResult> {
    const result = await this.#parts.store.get(this.#key, this.#limit());
    return result.status === StoreStatus.Ok ? result : undefined;
  }

  async #put(
    partition: ClaimPartition,
    version: number,
  ): Promise<StoreStatus> {
    const { store, metrics } = this.#parts;
    const limit = this.#limit();
    const result = await store.put(this.#key, partition, version, limit);
    metrics.claimWrites.inc({ result: result.status });
    if (result.status !== StoreStatus.Ok) {
      log("write", { key: this.#key, version, result: result.status });
    }
    return result.status;
  }

  #parse(
    object: StoredObject | undefined,
  ): ClaimPartition | undefined | typeof Unreadable {
    if (!object) return undefined;
    const parsed = claimPartitionSchema.safeParse(object.value);
    if (parsed.success) return parsed.data;
    log("unreadable_partition", { key: this.#key, version: object.version });
    return Unreadable;
  }

  #limit(): AbortSignal {
    return AbortSignal.timeout(CLAIM_STORE_CALL_MS);
  }

  #pause(): Promise<void> {
    const { random, signal } = this.#parts;
    return sleep(jitter(CLAIM_CONFLICT_PAUSE_MS, random), signal);
  }
}

/** A stored value that this version can't read, and must not overwrite. */
const Unreadable = Symbol("unreadable");
