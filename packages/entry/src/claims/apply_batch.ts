/**
 * Applies a batch of claims and settled answers to a partition. Pure and
 * idempotent: a batch that was written although its answer was lost comes to
 * the same results when it is applied again.
 */
import { CLAIM_RETENTION_MS } from "@sassafrascleat/protocol";
import { MAX_KEPT_ANSWER_BYTES, MAX_PARTITION_BYTES } from "./constants.ts";
import {
  type ClaimIntent,
  type ClaimPartition,
  type ClaimRecord,
  type ClaimResult,
  ClaimStatus,
  holderOf,
  sameAttempt,
  type SettledClaim,
} from "./claim_record.ts";

/** What is written together. */
export interface ClaimBatch {
  intents: readonly ClaimIntent[];
  settled: readonly SettledClaim[];
}

/** The partition after a batch, and what became of each intent in order. */
export interface AppliedBatch {
  partition: ClaimPartition;
  results: ClaimResult[];
  /** Whether there is anything to write. */
  changed: boolean;
}

/** Applies `batch`; `nowMs` is wall-clock time. */
export function applyBatch(
  before: ClaimPartition | undefined,
  batch: ClaimBatch,
  nowMs: number,
): AppliedBatch {
  const editor = new PartitionEditor(before, nowMs);
  const results = batch.intents.map((intent) => editor.claim(intent));
  for (const settled of batch.settled) editor.settle(settled);
  return {
    partition: { claims: editor.claims },
    results,
    changed: editor.changed,
  };
}

class PartitionEditor {
  readonly claims: Record<string, ClaimRecord>;
  changed = false;
  readonly #nowMs: number;
  #bytes: number;

  constructor(before: ClaimPartition | undefined, nowMs: number) {
    this.#nowMs = nowMs;
    const live = Object.entries(before?.claims ?? {})
      .filter(([, record]) => record.claimedAtMs + CLAIM_RETENTION_MS > nowMs);
    this.claims = Object.fromEntries(live);
    this.#bytes = bytesOf(this.claims);
  }

  claim(intent: ClaimIntent): ClaimResult {
    const held = this.claims[intent.keyHash];
    if (held && sameAttempt(holderOf(held), intent.ref)) {
      return { status: ClaimStatus.Claimed };
    }
    const replaced = held && intent.replaces &&
      held.bodyHash === intent.bodyHash && !held.answer &&
      sameAttempt(holderOf(held), intent.replaces);
    if (held && !replaced) return { status: ClaimStatus.Held, record: held };
    const { keyHash, bodyHash, ref, sidecar, incarnation } = intent;
    const { requestId, attempt } = ref;
    const claimedAtMs = this.#nowMs;
    const put = this.#put(keyHash, {
      bodyHash,
      requestId,
      attempt,
      sidecar,
      incarnation,
      claimedAtMs,
    });
    return { status: put ? ClaimStatus.Claimed : ClaimStatus.Full };
  }

  settle(settled: SettledClaim): void {
    const held = this.claims[settled.keyHash];
    if (!held || held.answer) return;
    if (!sameAttempt(holderOf(held), settled.ref)) return;
    const bytes = bytesOf(settled.answer);
    if (bytes > MAX_KEPT_ANSWER_BYTES) return;
    if (this.#bytes + bytes > MAX_PARTITION_BYTES) return;
    this.claims[settled.keyHash] = { ...held, answer: settled.answer };
    this.#bytes += bytes;
    this.changed = true;
  }

  #put(keyHash: string, record: ClaimRecord): boolean {
    const bytes = bytesOf({ [keyHash]: record });
    if (this.#bytes + bytes > MAX_PARTITION_BYTES) this.#dropAnswers();
    if (this.#bytes + bytes > MAX_PARTITION_BYTES) return false;
    this.claims[keyHash] = record;
    this.#bytes += bytes;
    this.changed = true;
    return true;
  }

  /** Makes room: claims have to stay, kept answers don't. */
  #dropAnswers(): void {
    for (const [keyHash, record] of Object.entries(this.claims)) {
      const { answer: _dropped, ...rest } = record;
      this.claims[keyHash] = rest;
    }
    this.#bytes = bytesOf(this.claims);
  }
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
