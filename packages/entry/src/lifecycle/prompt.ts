/** Renders prompts, estimates their length and hashes their prefixes. */
import { CHARS_PER_TOKEN, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { createHash } from "node:crypto";

/** One message of a chat. */
export interface ChatMessage {
  role: string;
  content: string;
}

const CHARS_PER_PIECE = TOKENS_PER_PIECE * CHARS_PER_TOKEN;
const HASH_DIGITS = 16;

/** Renders a chat as one prompt. */
export function renderChat(messages: readonly ChatMessage[]): string {
  return messages.map((it) => `${it.role}: ${it.content}\n`).join("");
}

/**
 * Estimates the length of `prompt` in tokens. An empty prompt counts as one
 * token, its start token.
 */
export function estimateTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));
}

/**
 * Hashes the complete pieces of `prompt`. Each hash also covers all preceding
 * pieces, so that equal hashes mean equal prefixes.
 */
export function pieceHashes(prompt: string): string[] {
  const hashes: string[] = [];
  let last = "";
  for (
    let end = CHARS_PER_PIECE;
    end <= prompt.length;
    end += CHARS_PER_PIECE
  ) {
    const piece = prompt.slice(end - CHARS_PER_PIECE, end);
    const hash = createHash("sha256").update(last).update(piece);
    last = hash.digest("hex").slice(0, HASH_DIGITS);
    hashes.push(last);
  }
  return hashes;
}
