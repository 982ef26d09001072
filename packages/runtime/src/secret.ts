/**
 * Shared secrets between processes. Two may be valid at once, so that one can
 * be rotated without an outage. Comparison takes constant time and a secret
 * never appears in a log, an error or JSON.
 */
import { createHash, timingSafeEqual } from "node:crypto";

/** The name of a secret and its value, kept out of every printed form. */
export class Secret {
  readonly name: string;
  readonly #value: string;

  constructor(name: string, value: string) {
    this.name = name;
    this.#value = value;
  }

  /** The value, for the header of an outgoing call only. */
  reveal(): string {
    return this.#value;
  }

  toString(): string {
    return `[secret ${this.name}]`;
  }

  toJSON(): string {
    return this.toString();
  }
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/**
 * Returns the secret that `presented` equals, or undefined. Every candidate is
 * compared, so that time tells nothing about which one matched.
 */
export function matchSecret(
  presented: string | undefined,
  accepted: readonly Secret[],
): Secret | undefined {
  const presentedDigest = digest(presented ?? "");
  let matched: Secret | undefined;
  for (const secret of accepted) {
    const equal = timingSafeEqual(presentedDigest, digest(secret.reveal()));
    if (equal && presented) matched = secret;
  }
  return matched;
}
