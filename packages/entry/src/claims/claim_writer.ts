/**
 * Writes the claims of one partition in batches. Claims that arrive while a
 * batch is being written form the next batch, so that the number of store
 * writes depends on the duration of a write and not on the number of requests.
 * If the response to a write is lost, the generation is read again and the batch
 * applied to it; claims that were written are then recognized by their attempt.
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
  MAX_PENDING_SETTLED,
  SEALED_WRITE_TRIES,
} from "./constants.ts";
import type { WritePacer } from "./write_pacer.ts";

/** Dependencies that the writers of one entry share. */
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

interface PendingClaim {
  intent: ClaimIntent;
  resolve: (result: ClaimResult) => void;
}

/** Results in the order of the intents; undefined while there is none. */
type Results = (ClaimResult | undefined)[];

const UNAVAILABLE: ClaimResult = { status: ClaimStatus.Unavailable };

/** Makes all writes of this entry to one partition. */
export class ClaimWriter {
  readonly #chain: ClaimChain;
  readonly #parts: ClaimWriterParts;
  #pendingClaims: PendingClaim[] = [];
  #pendingSettled: SettledClaim[] = [];
  #oldestSettledAtMs: number | undefined;
  #writing: Promise<void> | undefined;

  constructor(prefix: string, parts: ClaimWriterParts) {
    this.#chain = new ClaimChain(prefix, parts.store, parts.wallClock);
    this.#parts = parts;
  }

  /** Resolves when the claim is durable, the key is held, or writing it failed. */
  submit(intent: ClaimIntent): Promise<ClaimResult> {
    return new Promise((resolve) => {
      this.#pendingClaims.push({ intent, resolve });
      this.#startWriting();
    });
  }

  /**
   * Queues an answer for the next batch. Beyond `MAX_PENDING_SETTLED` answers,
   * the oldest one is dropped.
   */
  settle(settled: SettledClaim): void {
    this.#oldestSettledAtMs ??= this.#parts.clock.now();
    this.#pendingSettled.push(settled);
    if (this.#pendingSettled.length > MAX_PENDING_SETTLED) {
      this.#pendingSettled.shift();
    }
  }

  /** Writes the queued answers if the oldest has waited for at least `minAgeMs`. */
  async flush(minAgeMs: number): Promise<void> {
    const oldestAtMs = this.#oldestSettledAtMs;
    if (oldestAtMs === undefined) return;
    if (this.#parts.clock.now() - oldestAtMs >= minAgeMs) this.#startWriting();
    await this.#writing;
  }

  #startWriting(): void {
    this.#writing ??= this.#writePending();
  }

  async #writePending(): Promise<void> {
    const { pacer, signal } = this.#parts;
    do {
      await pacer.waitForTurn(signal);
      const claims = this.#pendingClaims.splice(0, MAX_BATCH_CLAIMS);
      const settled = this.#pendingSettled.splice(0);
      this.#oldestSettledAtMs = undefined;
      const intents = claims.map((it) => it.intent);
      const results = await this.#commit({ intents, settled });
      for (const [i, it] of claims.entries()) {
        const result = results[i] ?? UNAVAILABLE;
        this.#parts.metrics.claims.inc({ result: result.status });
        it.resolve(result);
      }
    } while (this.#pendingClaims.length > 0);
    // There must be no `await` between the loop condition and this line: a
    // claim submitted in between would not be written.
    this.#writing = undefined;
  }

  /**
   * Writes a batch and returns its results once they are durable. A result is
   * undefined if the store failed, or on timeout.
   */
  async #commit(batch: ClaimBatch): Promise<Results> {
    const { clock, signal } = this.#parts;
    const deadlineMs = clock.now() + CLAIM_TIMEOUT_MS;
    const results: Results = batch.intents.map(() => undefined);
    while (clock.now() < deadlineMs && !signal.aborted) {
      const head = await this.#chain.head();
      if (!head) return results;
      for (const i of unresolvedIndices(results)) {
        results[i] = await this.#claimInSealed(batch.intents[i]!);
      }
      const unresolved = unresolvedIndices(results);
      const intents = unresolved.map((i) => batch.intents[i]!);
      const headResults = await this.#claimInHead(head, {
        intents,
        settled: batch.settled,
      });
      for (const [k, i] of unresolved.entries()) results[i] = headResults?.[k];
      if (headResults) return results;
      await this.#pause();
    }
    return results;
  }

  /** Applies the batch to the head; undefined if that has to be retried. */
  async #claimInHead(
    head: GenerationRead,
    batch: ClaimBatch,
  ): Promise<Results | undefined> {
    const { wallClock, sealBytes } = this.#parts;
    const nowMs = wallClock.now();
    const applied = applyBatch(head.value, batch, nowMs, sealBytes);
    if (!applied.changed) return applied.results;
    const status = await this.#writeGeneration(head, applied.generation);
    if (status === StoreStatus.Ok) {
      if (applied.generation.sealed) void this.#chain.prune();
      return applied.results;
    }
    const retryable = status === StoreStatus.Conflict ||
      status === StoreStatus.Unknown;
    return retryable ? undefined : batch.intents.map(() => UNAVAILABLE);
  }

  /** Applies a claim to the sealed generations; undefined if none has the key. */
  async #claimInSealed(intent: ClaimIntent): Promise<ClaimResult | undefined> {
    for (const number of this.#chain.candidates(intent.keyHash)) {
      const result = await this.#claimInSealedGeneration(number, intent);
      if (result) return result;
    }
    return undefined;
  }

  async #claimInSealedGeneration(
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
      const status = await this.#writeGeneration(read, applied.generation);
      if (status === StoreStatus.Ok) return result;
    }
    return UNAVAILABLE;
  }

  async #writeGeneration(
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

function unresolvedIndices(results: Results): number[] {
  return [...results.keys()].filter((i) => results[i] === undefined);
}
