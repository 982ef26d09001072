/**
 * Runs one fault-injection case on a model request and checks the guarantees.
 */
import { deadlineSignal } from "@sassafrascleat/runtime";
import { expectedText } from "@sassafrascleat/testing";
import { callModel, type ModelAnswer } from "../caller/model_caller.ts";
import { type Rig, RIG_MODEL } from "../rig/index.ts";
import { until } from "../until.ts";
import { Fault, heal, injectFault } from "./faults.ts";
import {
  blockNextStep,
  type CallProgress,
  InjectionPoint,
  takeBaseline,
  unblockNextStep,
  waitForInjectionPoint,
} from "./injection_points.ts";

/** Faults after which the caller may lose its connection or time out. */
const CALLER_MAY_BE_CUT = new Set([
  Fault.KillEntry,
  Fault.PauseEntry,
  Fault.CallerCancels,
]);

/** Timeout of a request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Time limit for engines to free memory after the request, in milliseconds. */
const MEMORY_RELEASE_TIMEOUT_MS = 6_000;

const OUTPUT_TOKENS = 30;

/** Prompt length in characters; long enough to observe the prefill. */
const PROMPT_CHARS = 24_000;

/** Result of a case. */
export interface ModelCaseReport {
  answer: ModelAnswer | undefined;
  /** False if the request ended before the injection point. */
  injectionPointReached: boolean;
  problems: string[];
}

interface RunningCall extends CallProgress {
  result: Promise<ModelAnswer | undefined>;
}

function startCall(rig: Rig, prompt: string, signal: AbortSignal): RunningCall {
  const call: RunningCall = {
    chunks: 0,
    over: false,
    result: Promise.resolve(undefined),
  };
  call.result = callModel({
    address: rig.entries[0].address,
    model: RIG_MODEL,
    prompt,
    maxTokens: OUTPUT_TOKENS,
    stream: true,
    signal: deadlineSignal(REQUEST_TIMEOUT_MS, signal),
    onChunk: (chunks) => call.chunks = chunks,
  }).catch(() => undefined).finally(() => call.over = true);
  return call;
}

function uniquePrompt(id: string): string {
  const filler = "minutes of the hearing ";
  const body = filler.repeat(PROMPT_CHARS / filler.length);
  return `${id} ${body} #len=${OUTPUT_TOKENS}`;
}

function checkAnswer(
  prompt: string,
  faults: readonly Fault[],
  answer: ModelAnswer | undefined,
): string[] {
  const expected = expectedText(prompt, OUTPUT_TOKENS);
  if (answer?.finished) {
    return answer.text === expected
      ? []
      : ["a finished answer is incomplete or wrong"];
  }
  if (answer && !expected.startsWith(answer.text)) {
    return ["tokens were lost, repeated or mixed between requests"];
  }
  if (faults.some((fault) => CALLER_MAY_BE_CUT.has(fault))) return [];
  return [`not answered: ${answer?.status} ${answer?.outcome ?? "cut off"}`];
}

function checkNotRun(rig: Rig, answer: ModelAnswer | undefined): string[] {
  if (answer?.outcome !== "not_run") return [];
  const produced = rig.backends.some(({ engine }) =>
    (engine?.stats().tokensByRequest[answer.requestId] ?? 0) > 0
  );
  return produced ? ["reported as not run, but tokens were produced"] : [];
}

async function checkMemory(rig: Rig): Promise<string[]> {
  const held = () =>
    rig.backends.flatMap(({ engine }) => engine?.stats().heldIds ?? []);
  const freed = await until(
    () => held().length === 0,
    MEMORY_RELEASE_TIMEOUT_MS,
  );
  return freed ? [] : [`engines still hold memory for ${held().join(" ")}`];
}

/** Runs one case and checks every guarantee that applies to it. */
export async function runModelCase(
  rig: Rig,
  point: InjectionPoint,
  faults: readonly Fault[],
): Promise<ModelCaseReport> {
  const prompt = uniquePrompt(`${point} ${faults.join(" ")}`);
  const before = takeBaseline(rig);
  const caller = new AbortController();
  const ctx = { rig, caller };
  const injectAll = () => Promise.all(faults.map((f) => injectFault(f, ctx)));
  blockNextStep(rig, point);
  if (point === InjectionPoint.BeforeDispatch) await injectAll();
  const call = startCall(rig, prompt, caller.signal);
  const injectionPointReached = await waitForInjectionPoint(
    rig,
    point,
    before,
    call,
  );
  if (point !== InjectionPoint.BeforeDispatch) await injectAll();
  unblockNextStep(rig, point);
  const answer = await call.result;
  const problems = [
    ...checkAnswer(prompt, faults, answer),
    ...checkNotRun(rig, answer),
    ...await checkMemory(rig),
  ];
  await heal(rig);
  return { answer, injectionPointReached, problems };
}
