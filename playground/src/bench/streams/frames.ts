/** The frames that both transports carry. */
import { type Frame, FrameKind } from "@sassafrascleat/protocol";
import type { Ticker } from "./ticker.ts";

/** One frame with one token at each step, then the end of the generator. */
export async function* tokenFrames(
  ticker: Ticker,
  requestId: string,
  count: number,
): AsyncGenerator<Frame, void> {
  for (let offset = 0; offset < count; offset++) {
    await ticker.next();
    const tokens = [`token-${offset} `];
    const kind = FrameKind.Tokens;
    yield { kind, requestId, attempt: 1, offset, tokens };
  }
}
