/**
 * Generates the prompt of a traced request, exactly as long as its token count.
 */
import { CHARS_PER_TOKEN, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import type { TraceRequest } from "./trace.ts";

/**
 * Text of the shared prefix `index`, identical in every prompt that starts with
 * it.
 */
function prefixText(index: number, tokens: number): string {
  const pieceChars = TOKENS_PER_PIECE * CHARS_PER_TOKEN;
  const piece = repeatToLength(`guide ${index} says: `, pieceChars);
  return piece.repeat(tokens / TOKENS_PER_PIECE);
}

function repeatToLength(words: string, chars: number): string {
  return words.repeat(Math.ceil(chars / words.length)).slice(0, chars);
}

/**
 * Returns the prompt; simulated engines read the answer length from its `#len`
 * marker.
 */
export function promptText(req: TraceRequest): string {
  const prefix = req.prefix === undefined
    ? ""
    : prefixText(req.prefix, req.prefixTokens);
  const suffixTokens = req.promptTokens - req.prefixTokens;
  const marker = `${req.id} #len=${req.answerTokens} `;
  const paddingChars = suffixTokens * CHARS_PER_TOKEN - marker.length;
  return prefix + marker + repeatToLength(`${req.id} `, paddingChars);
}
