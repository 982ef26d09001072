/**
 * `npm run bench -- recovery`: with real processes, the longest silence that a
 * caller sees when a fault strikes in mid-stream, and the time until engines
 * hold nothing more after a caller or an entry is gone. Prints one JSON line.
 */
import { callModel, type ModelAnswer } from "../../caller/model_caller.ts";
import { Fault, heal, injectFault } from "../../faults/faults.ts";
import { type Rig, RIG_MODEL, startRig } from "../../rig/index.ts";
import { until } from "../../until.ts";

/** Repeats of each case. */
const REPEATS = 3;

/** Chunks after which the fault strikes. */
const STRIKE_AFTER_CHUNKS = 8;

const RESUME_TOKENS = 120;

/** Long enough that memory is never freed by the answer's end. */
const HELD_TOKENS = 3_000;

const MEMORY_LIMIT_MS = 15_000;

const RESUME_FAULTS = [
  Fault.ResetLinks,
  Fault.SilenceLinks,
  Fault.StallDecodeLink,
  Fault.KillDecodeSidecar,
  Fault.DecodeEngineDies,
  Fault.DecodeLeaves,
];

const MEMORY_FAULTS = [Fault.CallerCancels, Fault.KillEntry, Fault.PauseEntry];

function send(
  rig: Rig,
  tokens: number,
  onStrike: () => void,
  signal?: AbortSignal,
): Promise<ModelAnswer | undefined> {
  return callModel({
    address: rig.entries[0].address,
    model: RIG_MODEL,
    prompt: `${performance.now()} #len=${tokens}`,
    maxTokens: tokens,
    stream: true,
    signal,
    onChunk: (chunks) => {
      if (chunks === STRIKE_AFTER_CHUNKS) onStrike();
    },
  }).catch(() => undefined);
}

/** The longest gap in an answer that a fault strikes; undefined if not whole. */
async function longestGapMs(
  rig: Rig,
  fault: Fault | undefined,
): Promise<number | undefined> {
  const caller = new AbortController();
  let struck = Promise.resolve();
  const answer = await send(rig, RESUME_TOKENS, () => {
    if (fault) struck = injectFault(fault, { rig, caller });
  });
  await struck;
  await heal(rig);
  return answer?.finished ? Math.max(...answer.gapsMs) : undefined;
}

/** Time from the fault until no engine holds anything. */
async function timeToFreeMs(rig: Rig, fault: Fault): Promise<number> {
  const caller = new AbortController();
  let struckAtMs = 0;
  let struck = Promise.resolve();
  const call = send(rig, HELD_TOKENS, () => {
    struckAtMs = performance.now();
    struck = injectFault(fault, { rig, caller });
  }, caller.signal);
  await until(() => struckAtMs > 0);
  const held = () =>
    rig.backends.some(({ engine }) =>
      (engine?.stats().heldIds.length ?? 0) > 0
    );
  await until(() => !held(), MEMORY_LIMIT_MS);
  const freedMs = performance.now() - struckAtMs;
  caller.abort();
  await Promise.all([call, struck]);
  await heal(rig);
  return freedMs;
}

async function repeat<T>(work: () => Promise<T>): Promise<T[]> {
  const results: T[] = [];
  for (let i = 0; i < REPEATS; i++) results.push(await work());
  return results;
}

function rounded(values: (number | undefined)[]): (number | null)[] {
  return values.map((value) => value === undefined ? null : Math.round(value));
}

/** Runs the bench. */
export async function main(): Promise<number> {
  const rig = await startRig({ policy: { requestTimeoutMs: 60_000 } });
  const gaps: Record<string, (number | null)[]> = {};
  const freed: Record<string, (number | null)[]> = {};
  try {
    gaps["no fault"] = rounded(
      await repeat(() => longestGapMs(rig, undefined)),
    );
    for (const fault of RESUME_FAULTS) {
      gaps[fault] = rounded(await repeat(() => longestGapMs(rig, fault)));
    }
    for (const fault of MEMORY_FAULTS) {
      freed[fault] = rounded(await repeat(() => timeToFreeMs(rig, fault)));
    }
  } finally {
    await rig.close();
  }
  console.log(JSON.stringify({
    bench: "recovery",
    longestGapMs: gaps,
    timeToFreeMs: freed,
  }));
  return 0;
}
