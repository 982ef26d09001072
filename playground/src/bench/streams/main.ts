/**
 * Compares a plain HTTP NDJSON token stream with an async generator over tRPC.
 * Server and client run in this process, so its CPU time covers both sending
 * and receiving on one core. Each round measures both transports in turn.
 */
import { parseArgs } from "node:util";
import { createNdjsonTransport } from "./ndjson_transport.ts";
import { Ticker } from "./ticker.ts";
import type { Transport } from "./transport.ts";
import { createTrpcTransport } from "./trpc_transport.ts";

interface Options {
  streams: number;
  tokens: number;
  rounds: number;
  stepMs: number;
}

/** Measures the tokens that a transport carries per second of CPU time. */
async function measure(transport: Transport, opts: Options): Promise<number> {
  const before = process.cpuUsage();
  const reads = Array.from(
    { length: opts.streams },
    (_, i) => transport.read(`stream-${i}`, opts.tokens),
  );
  const counts = await Promise.all(reads);
  const { user, system } = process.cpuUsage(before);
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (total !== opts.streams * opts.tokens) {
    throw new Error("received and sent token counts differ");
  }
  return total / ((user + system) / 1e6);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function readOptions(args: string[]): Options {
  const { values } = parseArgs({
    args,
    options: {
      streams: { type: "string", default: "50" },
      tokens: { type: "string", default: "100" },
      rounds: { type: "string", default: "5" },
      "step-ms": { type: "string", default: "20" },
    },
  });
  return {
    streams: Number(values.streams),
    tokens: Number(values.tokens),
    rounds: Number(values.rounds),
    stepMs: Number(values["step-ms"]),
  };
}

/** Runs the bench and prints one line of JSON. */
export async function main(args: string[]): Promise<number> {
  const opts = readOptions(args);
  const ticker = new Ticker(opts.stepMs);
  const ndjson = await createNdjsonTransport(ticker);
  const trpc = await createTrpcTransport(ticker);
  await measure(ndjson, opts);
  await measure(trpc, opts);
  const pairs: { ndjson: number; trpc: number }[] = [];
  for (let round = 0; round < opts.rounds; round++) {
    pairs.push({
      ndjson: await measure(ndjson, opts),
      trpc: await measure(trpc, opts),
    });
  }
  ticker.stop();
  await Promise.all([ndjson.close(), trpc.close()]);
  console.log(JSON.stringify(summarize(opts, pairs)));
  return 0;
}

function summarize(opts: Options, pairs: { ndjson: number; trpc: number }[]) {
  const ratios = pairs.map((pair) => pair.ndjson / pair.trpc);
  const round2 = (value: number) => Math.round(value * 100) / 100;
  return {
    bench: "streams",
    ...opts,
    ndjsonTokensPerCpuSecond: Math.round(median(pairs.map((p) => p.ndjson))),
    trpcTokensPerCpuSecond: Math.round(median(pairs.map((p) => p.trpc))),
    ratio: round2(median(ratios)),
    ratioMin: round2(Math.min(...ratios)),
    ratioMax: round2(Math.max(...ratios)),
  };
}
