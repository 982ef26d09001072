/** Steps of a fuzz run as data, and how fast-check draws them. */
import fc from "fast-check";

/** Kinds of steps. */
export enum StepKind {
  Model = "model",
  Plain = "plain",
  Wait = "wait",
  Box = "box",
  KillSidecar = "kill_sidecar",
  StartSidecar = "start_sidecar",
  KillEntry = "kill_entry",
  StartEntry = "start_entry",
  Leave = "leave",
  Store = "store",
  Engine = "engine",
  PlainService = "plain_service",
  Heal = "heal",
}

/** Faults of a message box that a step sets. */
export enum BoxFault {
  LoseRequest = "lose_request",
  LoseReply = "lose_reply",
  Duplicate = "duplicate",
  HoldDispatch = "hold_dispatch",
  RepeatFrames = "repeat_frames",
  CutStreams = "cut_streams",
}

/** Faults of the store that a step sets. */
export enum StoreFault {
  Outage = "outage",
  LoseAnswer = "lose_answer",
  HangAnswer = "hang_answer",
  Slow = "slow",
}

/** Faults of an engine that a step sets. */
export enum EngineFault {
  Die = "die",
  StallTransfers = "stall_transfers",
}

/** A model request. */
export interface ModelStep {
  kind: StepKind.Model;
  entry: number;
  promptChars: number;
  tokens: number;
  stream: boolean;
  /** The caller hangs up after this time, in milliseconds. */
  cancelAfterMs: number | undefined;
}

/** A call to the plain service. */
export interface PlainStep {
  kind: StepKind.Plain;
  entry: number;
  /** Number of the idempotency key; undefined sends none. */
  key: number | undefined;
  repeatable: boolean;
}

/** Any other step; `node` and `entry` are taken modulo what there is. */
export type FaultStep =
  | { kind: StepKind.Wait; ms: number }
  | { kind: StepKind.Box; entry: number; node: number; fault: BoxFault }
  | { kind: StepKind.KillSidecar; node: number }
  | { kind: StepKind.StartSidecar; node: number }
  | { kind: StepKind.KillEntry; entry: number }
  | { kind: StepKind.StartEntry; entry: number }
  | { kind: StepKind.Leave; node: number; leaving: boolean }
  | { kind: StepKind.Store; fault: StoreFault }
  | { kind: StepKind.Engine; node: number; fault: EngineFault }
  | { kind: StepKind.PlainService; node: number; loseAnswers: boolean }
  | { kind: StepKind.Heal };

export type Step = ModelStep | PlainStep | FaultStep;

const LONGEST_PROMPT_CHARS = 30_000;
const SHORT_ANSWER_TOKENS = 60;
const LONG_ANSWER_TOKENS = 3_000;
const LONGEST_WAIT_MS = 700;
const LATEST_CANCEL_MS = 400;
const KEYS = 4;

/** Numbers of the plain services' nodes. */
const PLAIN_NODES = [2, 5];

const entry = fc.nat(1);
const node = fc.nat(5);

const modelStep = fc.record({
  kind: fc.constant(StepKind.Model as const),
  entry,
  promptChars: fc.integer({ min: 10, max: LONGEST_PROMPT_CHARS }),
  tokens: fc.integer({ min: 1, max: SHORT_ANSWER_TOKENS }),
  stream: fc.boolean(),
  cancelAfterMs: fc.constant(undefined),
});

/** A long answer whose caller hangs up in the middle of it. */
const cancelledStep = fc.record({
  kind: fc.constant(StepKind.Model as const),
  entry,
  promptChars: fc.integer({ min: 10, max: LONGEST_PROMPT_CHARS }),
  tokens: fc.constant(LONG_ANSWER_TOKENS),
  stream: fc.constant(true),
  cancelAfterMs: fc.integer({ min: 0, max: LATEST_CANCEL_MS }),
});

const plainStep = fc.record({
  kind: fc.constant(StepKind.Plain as const),
  entry,
  key: fc.option(fc.nat(KEYS - 1), { nil: undefined }),
  repeatable: fc.constant(false),
});

const repeatableStep = fc.record({
  kind: fc.constant(StepKind.Plain as const),
  entry,
  key: fc.constant(undefined),
  repeatable: fc.constant(true),
});

const waitStep = fc.record({
  kind: fc.constant(StepKind.Wait as const),
  ms: fc.integer({ min: 5, max: LONGEST_WAIT_MS }),
});

const boxStep = fc.record({
  kind: fc.constant(StepKind.Box as const),
  entry,
  node,
  fault: fc.constantFrom(...Object.values(BoxFault)),
});

/** A dispatch to a plain service that arrives after its sender gave up. */
const latePlainStep = fc.record({
  kind: fc.constant(StepKind.Box as const),
  entry,
  node: fc.constantFrom(...PLAIN_NODES),
  fault: fc.constant(BoxFault.HoldDispatch),
});

const repeatFramesStep = fc.record({
  kind: fc.constant(StepKind.Box as const),
  entry,
  node: fc.constant(0),
  fault: fc.constant(BoxFault.RepeatFrames),
});

/** A plain service's sidecar that dies, often with a call in progress. */
const killPlainStep = fc.record({
  kind: fc.constant(StepKind.KillSidecar as const),
  node: fc.constantFrom(...PLAIN_NODES),
});

const processSteps: fc.Arbitrary<Step>[] = [
  fc.record({ kind: fc.constant(StepKind.KillSidecar as const), node }),
  fc.record({ kind: fc.constant(StepKind.StartSidecar as const), node }),
  fc.record({ kind: fc.constant(StepKind.KillEntry as const), entry }),
  fc.record({ kind: fc.constant(StepKind.StartEntry as const), entry }),
  fc.record({
    kind: fc.constant(StepKind.Leave as const),
    node,
    leaving: fc.boolean(),
  }),
];

const platformSteps: fc.Arbitrary<Step>[] = [
  fc.record({
    kind: fc.constant(StepKind.Store as const),
    fault: fc.constantFrom(...Object.values(StoreFault)),
  }),
  fc.record({
    kind: fc.constant(StepKind.Engine as const),
    node,
    fault: fc.constantFrom(...Object.values(EngineFault)),
  }),
  fc.record({
    kind: fc.constant(StepKind.PlainService as const),
    node,
    loseAnswers: fc.boolean(),
  }),
  fc.constant({ kind: StepKind.Heal as const }),
];

/** Arbitraries of steps; what is listed twice is drawn twice as often. */
export const STEP_ARBITRARIES: fc.Arbitrary<Step>[] = [
  modelStep,
  modelStep,
  cancelledStep,
  plainStep,
  plainStep,
  plainStep,
  repeatableStep,
  waitStep,
  boxStep,
  boxStep,
  latePlainStep,
  repeatFramesStep,
  killPlainStep,
  ...processSteps,
  ...platformSteps,
];

/** A step as one line of a trace. */
export function describeStep(step: Step): string {
  const { kind, ...fields } = step;
  const parts = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${value}`);
  return [kind, ...parts].join(" ");
}
