/** The prompt text of a trace's request, exactly as long as its tokens say. */
import { CHARS_PER_TOKEN, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import type { TraceRequest } from "./trace.ts";

/** Text of the shared prefix `index`, the same in every prompt that has it. */
function prefixText(index: number, tokens: number): string {
  const pieceChars = TOKENS_PER_PIECE * CHARS_PER_TOKEN;
  const piece = fill(`guide ${index} says: `, pieceChars);
  return piece.repeat(tokens / TOKENS_PER_PIECE);
}

function fill(words: string, chars: number): string {
  return words.repeat(Math.ceil(chars / words.length)).slice(0, chars);
}

/** The prompt; the stand-in engines read the answer's length from its marker. */
export function promptText(req: TraceRequest): string {
  const prefix = req.prefix === undefined
    ? ""
    : prefixText(req.prefix, req.prefixTokens);
  const ownTokens = req.promptTokens - req.prefixTokens;
  const own = `${req.id} #len=${req.answerTokens} `;
  const rest = ownTokens * CHARS_PER_TOKEN - own.length;
  return prefix + own + fill(`${req.id} `, rest);
}
