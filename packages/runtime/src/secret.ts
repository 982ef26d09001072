/**
 * Secrets shared between processes. Two may be valid at once, so that a secret
 * can be rotated without an outage. Comparison takes constant time, and the
 * value of a secret never appears in a log, an error or JSON.
 */
import { createHash, timingSafeEqual } from "node:crypto";

/** A named secret whose value is omitted from its string and JSON forms. */
export class Secret {
  readonly name: string;
  readonly #value: string;

  constructor(name: string, value: string) {
    this.name = name;
    this.#value = value;
  }

  /** Returns the value, to be used only in the header of an outgoing request. */
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
 * Returns the secret that `presented` equals, or undefined. Every accepted
 * secret is compared, so that the timing does not reveal which one matched.
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
