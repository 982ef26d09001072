/** Frames that both transports send. */
import { type Frame, FrameKind } from "@sassafrascleat/protocol";
import type { Ticker } from "./ticker.ts";

/** Yields `count` frames, one per tick, each with one token. */
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
