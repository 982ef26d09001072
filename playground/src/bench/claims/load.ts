/** Open-loop load of calls with and without idempotency keys. */
import { sleep } from "@sassafrascleat/runtime";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { Fleet } from "./fleet.ts";

/** One level of load. */
export interface LoadLevel {
  callsPerSecond: number;
  seconds: number;
  keyed: boolean;
}

/** Result of one level of load. Latencies are in milliseconds at the caller. */
export interface LoadResult {
  callsPerSecond: number;
  keyed: boolean;
  answered: number;
  refused: number;
  executions: number;
  storeWritesPerSecond: number;
  storeReadsPerSecond: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

const TICK_MS = 5;

/** Sends one level of load and waits for every answer. */
export async function runLevel(
  fleet: Fleet,
  level: LoadLevel,
): Promise<LoadResult> {
  const agent = new Agent({ connections: 256 });
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  const before = await fleet.backend.counts();
  const startedAtMs = performance.now();
  const pending: Promise<boolean>[] = [];
  const total = level.callsPerSecond * level.seconds;
  while (pending.length < total) {
    const elapsedMs = performance.now() - startedAtMs;
    const due = Math.min(total, elapsedMs * level.callsPerSecond / 1_000);
    while (pending.length < due) {
      const n = pending.length;
      pending.push(sendOne(fleet, agent, latencies, n, level.keyed));
    }
    await sleep(TICK_MS);
  }
  const answers = await Promise.all(pending);
  const seconds = (performance.now() - startedAtMs) / 1_000;
  await agent.close();
  const after = await fleet.backend.counts();
  const answered = answers.filter(Boolean).length;
  return {
    callsPerSecond: level.callsPerSecond,
    keyed: level.keyed,
    answered,
    refused: answers.length - answered,
    executions: after.executions - before.executions,
    storeWritesPerSecond: round(
      (after.storeWrites - before.storeWrites) / seconds,
    ),
    storeReadsPerSecond: round(
      (after.storeReads - before.storeReads) / seconds,
    ),
    p50Ms: round(latencies.getValueAtPercentile(50) / 1_000),
    p95Ms: round(latencies.getValueAtPercentile(95) / 1_000),
    p99Ms: round(latencies.getValueAtPercentile(99) / 1_000),
  };
}

async function sendOne(
  fleet: Fleet,
  agent: Agent,
  latencies: Histogram,
  n: number,
  keyed: boolean,
): Promise<boolean> {
  const entry = fleet.entries[n % fleet.entries.length]!;
  const sentAtMs = performance.now();
  const key = { "idempotency-key": `${sentAtMs}-${n}` };
  const res = await request(`${entry.callersAddress}/services/orders/orders`, {
    method: "POST",
    body: "one castle",
    headers: keyed ? key : {},
    dispatcher: agent,
  });
  await res.body.dump();
  latencies.recordValue((performance.now() - sentAtMs) * 1_000);
  return res.statusCode === 200;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
