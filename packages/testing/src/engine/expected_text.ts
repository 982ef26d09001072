/**
 * The stand-in engine's answers as pure functions of the prompt, so that any
 * answer can be checked whichever engines and attempts produced it.
 */
import { rendezvousRank } from "@sassafrascleat/runtime";

const LENGTH_MARKER = /#len=(\d+)/;
const SHORTEST_ANSWER = 20;
const ANSWER_SPREAD = 180;

/** The answer to one prompt. */
export class ExpectedText {
  readonly #stem: string;
  readonly #wanted: number;

  constructor(prompt: string) {
    const hash = rendezvousRank(prompt, "answer");
    const marker = LENGTH_MARKER.exec(prompt);
    this.#stem = `w${hash.toString(36)}`;
    this.#wanted = marker
      ? Number(marker[1])
      : SHORTEST_ANSWER + hash % ANSWER_SPREAD;
  }

  /** Token `index` of the answer, counted from 0 over all attempts. */
  token(index: number): string {
    return `${this.#stem}-${index} `;
  }

  /** Tokens in the whole answer, at most `maxOutputTokens`. */
  length(maxOutputTokens: number): number {
    return Math.min(this.#wanted, maxOutputTokens);
  }

  /** The whole answer. */
  text(maxOutputTokens: number): string {
    let text = "";
    const length = this.length(maxOutputTokens);
    for (let i = 0; i < length; i++) text += this.token(i);
    return text;
  }
}

/** Token `index` of the answer to `prompt`. */
export function expectedToken(prompt: string, index: number): string {
  return new ExpectedText(prompt).token(index);
}

/** Tokens in the whole answer to `prompt`. */
export function expectedLength(
  prompt: string,
  maxOutputTokens: number,
): number {
  return new ExpectedText(prompt).length(maxOutputTokens);
}

/** The whole answer to `prompt`. */
export function expectedText(prompt: string, maxOutputTokens: number): string {
  return new ExpectedText(prompt).text(maxOutputTokens);
}
