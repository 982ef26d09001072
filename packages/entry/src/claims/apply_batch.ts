/**
 * Applies claims and settled answers to one generation. Pure and idempotent: a
 * batch that was written although its answer was lost comes to the same
 * results when it is applied again.
 */
import { CLAIM_RETENTION_MS } from "@sassafrascleat/protocol";
import { MAX_KEPT_ANSWER_BYTES } from "./constants.ts";
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

/** What is written together. */
export interface ClaimBatch {
  intents: readonly ClaimIntent[];
  settled: readonly SettledClaim[];
}

/** The generation after a batch, and what became of each intent in order. */
export interface AppliedBatch {
  generation: ClaimGeneration;
  /** Undefined for a key that a sealed generation does not hold. */
  results: (ClaimResult | undefined)[];
  /** Whether there is anything to write. */
  changed: boolean;
}

/**
 * Applies `batch`; `nowMs` is wall-clock time. A generation that grows to
 * `sealBytes` of JSON is sealed by the same write.
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
  const full = changed && bytesOf(claims) >= sealBytes;
  return {
    generation: { sealed: before.sealed || full, claims },
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
    const held = this.#live(intent.keyHash);
    if (!held) return this.#insert(intent);
    if (sameAttempt(holderOf(held), intent.ref)) {
      return { status: ClaimStatus.Claimed };
    }
    if (!mayReplace(held, intent)) {
      return { status: ClaimStatus.Held, record: held };
    }
    return this.#put(intent);
  }

  settle(settled: SettledClaim): void {
    const held = this.#live(settled.keyHash);
    if (!held || held.answer) return;
    if (!sameAttempt(holderOf(held), settled.ref)) return;
    if (bytesOf(settled.answer) > MAX_KEPT_ANSWER_BYTES) return;
    this.claims[settled.keyHash] = { ...held, answer: settled.answer };
    this.changed = true;
  }

  #live(keyHash: string): ClaimRecord | undefined {
    const record = this.claims[keyHash];
    if (!record) return undefined;
    return record.claimedAtMs + CLAIM_RETENTION_MS > this.#nowMs
      ? record
      : undefined;
  }

  #insert(intent: ClaimIntent): ClaimResult | undefined {
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

/** Only the claim that was proved not run, and only for the same call. */
function mayReplace(held: ClaimRecord, intent: ClaimIntent): boolean {
  return intent.replaces !== undefined && !held.answer &&
    held.bodyHash === intent.bodyHash &&
    sameAttempt(holderOf(held), intent.replaces);
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
