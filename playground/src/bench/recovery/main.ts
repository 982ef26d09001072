/**
 * `npm run bench -- recovery`: injects faults into real processes. Measures the
 * longest gap in a stream that a caller sees when a fault occurs in mid-stream,
 * and the time until the engines have freed all memory after a caller cancels
 * or an entry fails. Prints one line of JSON.
 */
import { callModel, type ModelAnswer } from "../../caller/model_caller.ts";
import { Fault, heal, injectFault } from "../../faults/faults.ts";
import { type Rig, RIG_MODEL, startRig } from "../../rig/index.ts";
import { until } from "../../until.ts";

const REPEATS = 3;

/** Number of received chunks after which the fault is injected. */
const FAULT_AFTER_CHUNKS = 8;

const RESUME_ANSWER_TOKENS = 120;

/** Long enough that no memory is freed because the answer has ended. */
const MEMORY_ANSWER_TOKENS = 3_000;

const MEMORY_TIMEOUT_MS = 15_000;

const RESUME_FAULTS = [
  Fault.ResetLinks,
  Fault.SilenceLinks,
  Fault.StallDecodeLink,
  Fault.KillDecodeSidecar,
  Fault.DecodeEngineDies,
  Fault.DecodeLeaves,
];

const MEMORY_FAULTS = [Fault.CallerCancels, Fault.KillEntry, Fault.PauseEntry];

function callWithFault(
  rig: Rig,
  tokens: number,
  onFaultPoint: () => void,
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
      if (chunks === FAULT_AFTER_CHUNKS) onFaultPoint();
    },
  }).catch(() => undefined);
}

/**
 * Returns the longest gap in an answer that is interrupted by a fault, or
 * undefined if the answer was incomplete.
 */
async function longestGapMs(
  rig: Rig,
  fault: Fault | undefined,
): Promise<number | undefined> {
  const caller = new AbortController();
  let injected = Promise.resolve();
  const answer = await callWithFault(rig, RESUME_ANSWER_TOKENS, () => {
    if (fault) injected = injectFault(fault, { rig, caller });
  });
  await injected;
  await heal(rig);
  return answer?.finished ? Math.max(...answer.gapsMs) : undefined;
}

/**
 * Returns the time from the fault until no engine holds memory for a request.
 */
async function timeToFreeMs(rig: Rig, fault: Fault): Promise<number> {
  const caller = new AbortController();
  let injectedAtMs = 0;
  let injected = Promise.resolve();
  const call = callWithFault(rig, MEMORY_ANSWER_TOKENS, () => {
    injectedAtMs = performance.now();
    injected = injectFault(fault, { rig, caller });
  }, caller.signal);
  await until(() => injectedAtMs > 0);
  const held = () =>
    rig.backends.some(({ engine }) =>
      (engine?.stats().heldIds.length ?? 0) > 0
    );
  await until(() => !held(), MEMORY_TIMEOUT_MS);
  const freedMs = performance.now() - injectedAtMs;
  caller.abort();
  await Promise.all([call, injected]);
  await heal(rig);
  return freedMs;
}

async function repeatCase<T>(work: () => Promise<T>): Promise<T[]> {
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
      await repeatCase(() => longestGapMs(rig, undefined)),
    );
    for (const fault of RESUME_FAULTS) {
      gaps[fault] = rounded(await repeatCase(() => longestGapMs(rig, fault)));
    }
    for (const fault of MEMORY_FAULTS) {
      freed[fault] = rounded(await repeatCase(() => timeToFreeMs(rig, fault)));
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
