/** Reads newline-delimited frames from a stream's body. */
import { decodeFrame, type Frame } from "@sassafrascleat/protocol";
import type { Readable } from "node:stream";

/** Yields the frames of `body` in order; lines that are no frames are left out. */
export async function* readFrames(body: Readable): AsyncGenerator<Frame> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    rest += decoder.decode(chunk as Uint8Array, { stream: true });
    const lines = rest.split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      const frame = decodeFrame(line);
      if (frame) yield frame;
    }
  }
}
