/** Process of callers that read streams and count their tokens. */
import { Pool } from "undici";
import { STREAM_TOKENS, TOKEN_MARK } from "./options.ts";

/** Message to the process: opens streams, or requests the current counts. */
export type LoadOrder =
  | { address: string; model: string; streams: number }
  | "counts";

/** Counts over all streams of one process. */
export interface LoadCounts {
  tokens: number;
  /** Streams that have delivered at least one token. */
  started: number;
  /** Streams that have closed, for whatever reason. */
  ended: number;
}

const MARK = TOKEN_MARK.charCodeAt(0);
const counts: LoadCounts = { tokens: 0, started: 0, ended: 0 };

function countMarks(chunk: Buffer): number {
  let marks = 0;
  let at = chunk.indexOf(MARK);
  while (at >= 0) {
    marks += 1;
    at = chunk.indexOf(MARK, at + 1);
  }
  return marks;
}

async function readOne(pool: Pool, model: string): Promise<void> {
  const prompt = `prompt ${process.pid} ${Math.random()}`;
  const reply = await pool.request({
    method: "POST",
    path: "/v1/completions",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      model,
      prompt,
      max_tokens: STREAM_TOKENS,
      stream: true,
    }),
  });
  let started = false;
  reply.body.on("data", (chunk: Buffer) => {
    const marks = countMarks(chunk);
    if (marks > 0 && !started) {
      started = true;
      counts.started += 1;
    }
    counts.tokens += marks;
  });
  reply.body.on("close", () => counts.ended += 1);
  reply.body.on("error", () => {});
}

process.on("message", async (order: LoadOrder) => {
  if (order !== "counts") {
    const { address, model, streams } = order;
    const pool = new Pool(address, { connections: null });
    for (let i = 0; i < streams; i++) await readOne(pool, model);
  }
  process.send?.(counts);
});
process.on("disconnect", () => process.exit(1));
