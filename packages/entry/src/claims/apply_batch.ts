/**
 * Applies claims and answers to one generation. This is pure and idempotent: if
 * a batch was written but the store's response was lost, applying the batch
 * again gives the same results.
 */
import { IDEMPOTENCY_KEY_RETENTION_MS } from "@sassafrascleat/protocol";
import { MAX_STORED_ANSWER_BYTES } from "./constants.ts";
import {
  type ClaimGeneration,
  type ClaimIntent,
  type ClaimRecord,
  type ClaimResult,
  ClaimStatus,
  holderOf,
  sameAttempt,
  type SettledClaim,
} from "./claim_record.ts";

/** Claims and answers that are written together. */
export interface ClaimBatch {
  intents: readonly ClaimIntent[];
  settled: readonly SettledClaim[];
}

/** The generation after a batch, and the results in the order of the intents. */
export interface AppliedBatch {
  generation: ClaimGeneration;
  /** Undefined for a key that is missing in a sealed generation. */
  results: (ClaimResult | undefined)[];
  /** Whether the generation changed and has to be written. */
  changed: boolean;
}

/**
 * Applies `batch`; `nowMs` is wall-clock time. A generation whose JSON reaches
 * `sealBytes` is sealed in the same write.
 */
export function applyBatch(
  before: ClaimGeneration,
  batch: ClaimBatch,
  nowMs: number,
  sealBytes: number,
): AppliedBatch {
  const editor = new GenerationEditor(before, nowMs);
  const results = batch.intents.map((intent) => editor.claim(intent));
  for (const settled of batch.settled) editor.settle(settled);
  const { claims, changed } = editor;
  const reachesSealSize = changed && jsonBytes(claims) >= sealBytes;
  return {
    generation: { sealed: before.sealed || reachesSealSize, claims },
    results,
    changed,
  };
}

class GenerationEditor {
  readonly claims: Record<string, ClaimRecord>;
  changed = false;
  readonly #sealed: boolean;
  readonly #nowMs: number;

  constructor(before: ClaimGeneration, nowMs: number) {
    this.claims = { ...before.claims };
    this.#sealed = before.sealed;
    this.#nowMs = nowMs;
  }

  claim(intent: ClaimIntent): ClaimResult | undefined {
    const existing = this.#unexpired(intent.keyHash);
    if (!existing) return this.#insertUnlessSealed(intent);
    if (sameAttempt(holderOf(existing), intent.ref)) {
      return { status: ClaimStatus.Claimed };
    }
    if (!mayReplace(existing, intent)) {
      return { status: ClaimStatus.Held, record: existing };
    }
    return this.#put(intent);
  }

  settle(settled: SettledClaim): void {
    const existing = this.#unexpired(settled.keyHash);
    if (!existing || existing.answer) return;
    if (!sameAttempt(holderOf(existing), settled.ref)) return;
    if (jsonBytes(settled.answer) > MAX_STORED_ANSWER_BYTES) return;
    this.claims[settled.keyHash] = { ...existing, answer: settled.answer };
    this.changed = true;
  }

  #unexpired(keyHash: string): ClaimRecord | undefined {
    const record = this.claims[keyHash];
    if (!record) return undefined;
    return record.claimedAtMs + IDEMPOTENCY_KEY_RETENTION_MS > this.#nowMs
      ? record
      : undefined;
  }

  #insertUnlessSealed(intent: ClaimIntent): ClaimResult | undefined {
    return this.#sealed ? undefined : this.#put(intent);
  }

  #put(intent: ClaimIntent): ClaimResult {
    const { keyHash, bodyHash, ref, sidecar, incarnation } = intent;
    const { requestId, attempt } = ref;
    this.claims[keyHash] = {
      bodyHash,
      requestId,
      attempt,
      sidecar,
      incarnation,
      claimedAtMs: this.#nowMs,
    };
    this.changed = true;
    return { status: ClaimStatus.Claimed };
  }
}

/** Only a claim whose call is proven not to have run, and only for the same call. */
function mayReplace(existing: ClaimRecord, intent: ClaimIntent): boolean {
  return intent.replaces !== undefined && !existing.answer &&
    existing.bodyHash === intent.bodyHash &&
    sameAttempt(holderOf(existing), intent.replaces);
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
