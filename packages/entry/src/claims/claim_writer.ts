/**
 * Writes the claims of one partition in batches. While one batch is being
 * written the next one collects, so that store writes follow the time a write
 * takes and not the number of requests. An answer that was lost is resolved by
 * reading back: the batch is applied again and finds its own records.
 */
import {
  type Clock,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import type { EntryMetrics } from "../metrics.ts";
import { applyBatch, type ClaimBatch } from "./apply_batch.ts";
import { ClaimChain, type GenerationRead } from "./claim_chain.ts";
import {
  type ClaimGeneration,
  type ClaimIntent,
  type ClaimResult,
  ClaimStatus,
  type SettledClaim,
} from "./claim_record.ts";
import {
  CLAIM_CONFLICT_PAUSE_MS,
  CLAIM_TIMEOUT_MS,
  MAX_BATCH_CLAIMS,
  MAX_SETTLED_WAITING,
  SEALED_WRITE_TRIES,
} from "./constants.ts";
import type { WritePacer } from "./write_pacer.ts";

/** What the writers of one entry share. */
export interface ClaimWriterParts {
  store: ObjectStore;
  clock: Clock;
  /** Wall-clock time, for the age of claims. */
  wallClock: Clock;
  random: Random;
  pacer: WritePacer;
  metrics: EntryMetrics;
  /** Size at which a generation is sealed, in bytes of JSON. */
  sealBytes: number;
  /** Aborts when the entry closes. */
  signal: AbortSignal;
}

interface Waiting {
  intent: ClaimIntent;
  resolve: (result: ClaimResult) => void;
}

/** Results by position; a hole is an intent that is still open. */
type Results = (ClaimResult | undefined)[];

const UNAVAILABLE: ClaimResult = { status: ClaimStatus.Unavailable };

/** Owns the writes to one partition. */
export class ClaimWriter {
  readonly #chain: ClaimChain;
  readonly #parts: ClaimWriterParts;
  #waiting: Waiting[] = [];
  #settled: SettledClaim[] = [];
  #settledSinceMs: number | undefined;
  #writing: Promise<void> | undefined;

  constructor(prefix: string, parts: ClaimWriterParts) {
    this.#chain = new ClaimChain(prefix, parts.store, parts.wallClock);
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
    this.#writing ??= this.#run();
  }

  async #run(): Promise<void> {
    const { pacer, signal } = this.#parts;
    do {
      await pacer.turn(signal);
      const waiting = this.#waiting.splice(0, MAX_BATCH_CLAIMS);
      const settled = this.#settled.splice(0);
      this.#settledSinceMs = undefined;
      const intents = waiting.map((it) => it.intent);
      const results = await this.#commit({ intents, settled });
      for (const [i, it] of waiting.entries()) {
        const result = results[i] ?? UNAVAILABLE;
        this.#parts.metrics.claims.inc({ result: result.status });
        it.resolve(result);
      }
    } while (this.#waiting.length > 0);
    // In the same step as the check, or a claim that comes between is lost.
    this.#writing = undefined;
  }

  /** The results once they are durable; holes where that was given up. */
  async #commit(batch: ClaimBatch): Promise<Results> {
    const { clock, signal } = this.#parts;
    const giveUpAtMs = clock.now() + CLAIM_TIMEOUT_MS;
    const results: Results = batch.intents.map(() => undefined);
    while (clock.now() < giveUpAtMs && !signal.aborted) {
      const head = await this.#chain.head();
      if (!head) return results;
      for (const i of openIn(results)) {
        results[i] = await this.#inSealed(batch.intents[i]!);
      }
      const open = openIn(results);
      const intents = open.map((i) => batch.intents[i]!);
      const done = await this.#inHead(head, {
        intents,
        settled: batch.settled,
      });
      for (const [k, i] of open.entries()) results[i] = done?.[k];
      if (done) return results;
      await this.#pause();
    }
    return results;
  }

  /** Claims in the head; undefined when it has to be tried again. */
  async #inHead(
    head: GenerationRead,
    batch: ClaimBatch,
  ): Promise<Results | undefined> {
    const { wallClock, sealBytes } = this.#parts;
    const nowMs = wallClock.now();
    const applied = applyBatch(head.value, batch, nowMs, sealBytes);
    if (!applied.changed) return applied.results;
    const status = await this.#put(head, applied.generation);
    if (status === StoreStatus.Ok) {
      if (applied.generation.sealed) void this.#chain.prune();
      return applied.results;
    }
    const again = status === StoreStatus.Conflict ||
      status === StoreStatus.Unknown;
    return again ? undefined : batch.intents.map(() => UNAVAILABLE);
  }

  /** What sealed generations say; undefined when none holds the key. */
  async #inSealed(intent: ClaimIntent): Promise<ClaimResult | undefined> {
    for (const number of this.#chain.candidates(intent.keyHash)) {
      const result = await this.#inOneSealed(number, intent);
      if (result) return result;
    }
    return undefined;
  }

  async #inOneSealed(
    number: number,
    intent: ClaimIntent,
  ): Promise<ClaimResult | undefined> {
    for (let i = 0; i < SEALED_WRITE_TRIES; i++) {
      const read = await this.#chain.read(number);
      if (!read) return UNAVAILABLE;
      if (!read.value.sealed) return undefined;
      const batch = { intents: [intent], settled: [] };
      const nowMs = this.#parts.wallClock.now();
      const applied = applyBatch(read.value, batch, nowMs, Infinity);
      const [result] = applied.results;
      if (!result || !applied.changed) return result;
      const status = await this.#put(read, applied.generation);
      if (status === StoreStatus.Ok) return result;
    }
    return UNAVAILABLE;
  }

  async #put(
    read: GenerationRead,
    value: ClaimGeneration,
  ): Promise<StoreStatus> {
    const status = await this.#chain.write(read, value);
    this.#parts.metrics.claimWrites.inc({ result: status });
    return status;
  }

  #pause(): Promise<void> {
    const { random, signal } = this.#parts;
    return sleep(jitter(CLAIM_CONFLICT_PAUSE_MS, random), signal);
  }
}

function openIn(results: Results): number[] {
  return [...results.keys()].filter((i) => results[i] === undefined);
}
