/** Validates callers' idempotency keys, hashes them and assigns partitions. */
import { createHash } from "node:crypto";
import { MAX_IDEMPOTENCY_KEY_CHARS } from "./constants.ts";

/** Header with the caller's key, lower case. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const HASH_BYTES = 16;

/** Whether `key` is valid: printable ASCII without spaces, not too long. */
export function isValidKey(key: string): boolean {
  return key.length <= MAX_IDEMPOTENCY_KEY_CHARS && /^[!-~]+$/.test(key);
}

/** Hash of a key in the namespace of one customer and service. */
export function hashKey(
  service: string,
  customer: string,
  key: string,
): string {
  return hashOf([service, customer, key]);
}

/** Hash of a call, to tell a repeat from a different call with the same key. */
export function hashCall(method: string, path: string, body: string): string {
  return hashOf([method, path, body]);
}

/** The partition of a key's hash. */
export function partitionOf(keyHash: string, partitions: number): number {
  return Buffer.from(keyHash, "base64url").readUInt32BE(0) % partitions;
}

function hashOf(parts: readonly string[]): string {
  const digest = createHash("sha256").update(JSON.stringify(parts)).digest();
  return digest.subarray(0, HASH_BYTES).toString("base64url");
}
