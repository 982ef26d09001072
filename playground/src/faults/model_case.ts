/** One case of the table for model requests: a moment, faults, the promises. */
import { deadlineSignal } from "@sassafrascleat/runtime";
import { expectedText } from "@sassafrascleat/testing";
import { callModel, type ModelAnswer } from "../caller/model_caller.ts";
import { type Rig, RIG_MODEL } from "../rig/index.ts";
import { until } from "../until.ts";
import { Fault, heal, strike } from "./faults.ts";
import {
  type CallProgress,
  holdNextStep,
  Moment,
  releaseNextStep,
  takeBaseline,
  waitForMoment,
} from "./moments.ts";

/** Faults after which the caller's connection or patience is gone. */
const CALLER_MAY_BE_CUT = new Set([
  Fault.KillEntry,
  Fault.PauseEntry,
  Fault.CallerCancels,
]);

/** Longest time until a request has ended, one way or another. */
const REQUEST_LIMIT_MS = 20_000;

/** Bound on engine memory held after its caller is gone, in milliseconds. */
const MEMORY_BOUND_MS = 6_000;

const OUTPUT_TOKENS = 30;

/** Characters of the prompt; long enough for a visible prefill. */
const PROMPT_CHARS = 24_000;

/** What became of a case. */
export interface CaseReport {
  answer: ModelAnswer | undefined;
  /** False when the moment never came. */
  struck: boolean;
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
    signal: deadlineSignal(REQUEST_LIMIT_MS, signal),
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
    return answer.text === expected ? [] : ["a finished answer is not whole"];
  }
  if (answer && !expected.startsWith(answer.text)) {
    return ["tokens were lost, repeated or crossed"];
  }
  if (faults.some((fault) => CALLER_MAY_BE_CUT.has(fault))) return [];
  return [`not answered: ${answer?.status} ${answer?.outcome ?? "cut off"}`];
}

function checkNotRun(rig: Rig, answer: ModelAnswer | undefined): string[] {
  if (answer?.outcome !== "not_run") return [];
  const produced = rig.backends.some(({ engine }) =>
    (engine?.books().tokensByRequest[answer.requestId] ?? 0) > 0
  );
  return produced ? ["told not run, but tokens were produced"] : [];
}

async function checkMemory(rig: Rig): Promise<string[]> {
  const held = () =>
    rig.backends.flatMap(({ engine }) => engine?.books().heldIds ?? []);
  const freed = await until(() => held().length === 0, MEMORY_BOUND_MS);
  return freed ? [] : [`engines still hold ${held().join(" ")}`];
}

/** Runs one case and checks every promise that applies to it. */
export async function runModelCase(
  rig: Rig,
  moment: Moment,
  faults: readonly Fault[],
): Promise<CaseReport> {
  const prompt = uniquePrompt(`${moment} ${faults.join(" ")}`);
  const before = takeBaseline(rig);
  const caller = new AbortController();
  const ctx = { rig, caller };
  const strikeAll = () => Promise.all(faults.map((f) => strike(f, ctx)));
  holdNextStep(rig, moment);
  if (moment === Moment.BeforeDispatch) await strikeAll();
  const call = startCall(rig, prompt, caller.signal);
  const struck = await waitForMoment(rig, moment, before, call);
  if (moment !== Moment.BeforeDispatch) await strikeAll();
  releaseNextStep(rig, moment);
  const answer = await call.result;
  const problems = [
    ...checkAnswer(prompt, faults, answer),
    ...checkNotRun(rig, answer),
    ...await checkMemory(rig),
  ];
  await heal(rig);
  return { answer, struck, problems };
}
