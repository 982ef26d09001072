/**
 * The simulated engine's output as a pure function of the prompt. A test can
 * therefore check any output, whichever engines and attempts produced it.
 */
import { rendezvousRank } from "@sassafrascleat/runtime";

const LENGTH_MARKER = /#len=(\d+)/;
const MIN_OUTPUT_TOKENS = 20;
const OUTPUT_TOKENS_RANGE = 180;

/** The output for one prompt; `#len=N` in the prompt sets its length. */
export class ExpectedText {
  readonly #tokenPrefix: string;
  readonly #fullLength: number;

  constructor(prompt: string) {
    const hash = rendezvousRank(prompt, "answer");
    const marker = LENGTH_MARKER.exec(prompt);
    this.#tokenPrefix = `w${hash.toString(36)}`;
    this.#fullLength = marker
      ? Number(marker[1])
      : MIN_OUTPUT_TOKENS + hash % OUTPUT_TOKENS_RANGE;
  }

  /** Returns token `index` of the output, counted from 0 over all attempts. */
  token(index: number): string {
    return `${this.#tokenPrefix}-${index} `;
  }

  /** Returns the number of tokens in the output, at most `maxOutputTokens`. */
  length(maxOutputTokens: number): number {
    return Math.min(this.#fullLength, maxOutputTokens);
  }

  /** Returns the whole output. */
  text(maxOutputTokens: number): string {
    let text = "";
    const length = this.length(maxOutputTokens);
    for (let i = 0; i < length; i++) text += this.token(i);
    return text;
  }
}

/** Returns token `index` of the output for `prompt`. */
export function expectedToken(prompt: string, index: number): string {
  return new ExpectedText(prompt).token(index);
}

/** Returns the number of tokens in the output for `prompt`. */
export function expectedLength(
  prompt: string,
  maxOutputTokens: number,
): number {
  return new ExpectedText(prompt).length(maxOutputTokens);
}

/** Returns the whole output for `prompt`. */
export function expectedText(prompt: string, maxOutputTokens: number): string {
  return new ExpectedText(prompt).text(maxOutputTokens);
}
