/**
 * Steps of a fuzz run as data, and the fast-check arbitraries that generate
 * them. Besides single steps there are sequences in which one step prepares a
 * hazard for the next; single steps rarely form them by chance.
 */
import fc from "fast-check";

/** Kinds of steps. */
export enum StepKind {
  Model = "model",
  Plain = "plain",
  Wait = "wait",
  AwaitExecution = "await_execution",
  AwaitChunks = "await_chunks",
  ProxyFault = "box",
  KillSidecar = "kill_sidecar",
  StartSidecar = "start_sidecar",
  KillEntry = "kill_entry",
  StartEntry = "start_entry",
  SetLeaving = "leave",
  Store = "store",
  Engine = "engine",
  PlainService = "plain_service",
  Heal = "heal",
}

/** Faults that a step sets on a message proxy. */
export enum ProxyFault {
  LoseRequest = "lose_request",
  LoseReply = "lose_reply",
  Duplicate = "duplicate",
  DelayDispatch = "hold_dispatch",
  RepeatFrames = "repeat_frames",
  CutStreams = "cut_streams",
}

/** Faults that a step sets on the store. */
export enum StoreFault {
  Outage = "outage",
  LoseAnswer = "lose_answer",
  HangAnswer = "hang_answer",
  Slow = "slow",
}

/** Faults that a step sets on an engine. */
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
  /** Time after which the caller disconnects, in milliseconds. */
  cancelAfterMs: number | undefined;
  /** Whether the caller disconnects at the first chunk of the answer. */
  cancelAtFirstChunk: boolean;
}

/** A call to the plain service. */
export interface PlainStep {
  kind: StepKind.Plain;
  entry: number;
  /** Index of the idempotency key; undefined to send none. */
  key: number | undefined;
  repeatable: boolean;
}

/**
 * Any other step. `node` is the index of a backend server and `entry` that of
 * an entry, both modulo the number available.
 */
export type FaultStep =
  | { kind: StepKind.Wait; ms: number }
  /** Waits until a server executes the latest plain call. */
  | { kind: StepKind.AwaitExecution }
  /** Waits until the latest model request has several chunks or has ended. */
  | { kind: StepKind.AwaitChunks }
  | {
    kind: StepKind.ProxyFault;
    entry: number;
    node: number;
    fault: ProxyFault;
  }
  | { kind: StepKind.KillSidecar; node: number }
  | { kind: StepKind.StartSidecar; node: number }
  | { kind: StepKind.KillEntry; entry: number }
  | { kind: StepKind.StartEntry; entry: number }
  | { kind: StepKind.SetLeaving; node: number; leaving: boolean }
  | { kind: StepKind.Store; fault: StoreFault }
  | { kind: StepKind.Engine; node: number; fault: EngineFault }
  | { kind: StepKind.PlainService; node: number; loseAnswers: boolean }
  | { kind: StepKind.Heal };

export type Step = ModelStep | PlainStep | FaultStep;

const MAX_PROMPT_CHARS = 30_000;
const SHORT_ANSWER_TOKENS = 60;
/**
 * Takes the stand-in engine longer than callers and the oracle wait together,
 * so that an answer that was not cancelled is still in memory at the check.
 */
const LONG_ANSWER_TOKENS = 12_000;
const MAX_WAIT_MS = 700;
const MAX_CANCEL_DELAY_MS = 400;
const KEY_COUNT = 4;

/** Indexes of the backend servers that run plain services. */
const PLAIN_BACKEND_INDEXES = [2, 5];

const entry = fc.nat(1);
const node = fc.nat(5);

const modelStep = fc.record({
  kind: fc.constant(StepKind.Model as const),
  entry,
  promptChars: fc.integer({ min: 10, max: MAX_PROMPT_CHARS }),
  tokens: fc.integer({ min: 1, max: SHORT_ANSWER_TOKENS }),
  stream: fc.boolean(),
  cancelAfterMs: fc.constant(undefined),
  cancelAtFirstChunk: fc.constant(false),
});

/** A long answer whose caller disconnects early. */
const cancelledStep = fc.record({
  kind: fc.constant(StepKind.Model as const),
  entry,
  promptChars: fc.integer({ min: 10, max: MAX_PROMPT_CHARS }),
  tokens: fc.constant(LONG_ANSWER_TOKENS),
  stream: fc.constant(true),
  cancelAfterMs: fc.integer({ min: 0, max: MAX_CANCEL_DELAY_MS }),
  cancelAtFirstChunk: fc.constant(false),
});

const plainStep = fc.record({
  kind: fc.constant(StepKind.Plain as const),
  entry,
  key: fc.option(fc.nat(KEY_COUNT - 1), { nil: undefined }),
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
  ms: fc.integer({ min: 5, max: MAX_WAIT_MS }),
});

const proxyFaultStep = fc.record({
  kind: fc.constant(StepKind.ProxyFault as const),
  entry,
  node,
  fault: fc.constantFrom(...Object.values(ProxyFault)),
});

/**
 * A dispatch to a plain service that arrives after its sender has timed out.
 */
const delayedPlainStep = fc.record({
  kind: fc.constant(StepKind.ProxyFault as const),
  entry,
  node: fc.constantFrom(...PLAIN_BACKEND_INDEXES),
  fault: fc.constant(ProxyFault.DelayDispatch),
});

const repeatFramesStep = fc.record({
  kind: fc.constant(StepKind.ProxyFault as const),
  entry,
  node: fc.constant(0),
  fault: fc.constant(ProxyFault.RepeatFrames),
});

/** Kills a plain service's sidecar, often with a call in progress. */
const killPlainStep = fc.record({
  kind: fc.constant(StepKind.KillSidecar as const),
  node: fc.constantFrom(...PLAIN_BACKEND_INDEXES),
});

const processSteps: fc.Arbitrary<Step>[] = [
  fc.record({ kind: fc.constant(StepKind.KillSidecar as const), node }),
  fc.record({ kind: fc.constant(StepKind.StartSidecar as const), node }),
  fc.record({ kind: fc.constant(StepKind.KillEntry as const), entry }),
  fc.record({ kind: fc.constant(StepKind.StartEntry as const), entry }),
  fc.record({
    kind: fc.constant(StepKind.SetLeaving as const),
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

/** Arbitraries of steps; one listed twice is generated twice as often. */
const STEP_ARBITRARIES: fc.Arbitrary<Step>[] = [
  modelStep,
  modelStep,
  cancelledStep,
  plainStep,
  plainStep,
  plainStep,
  repeatableStep,
  waitStep,
  proxyFaultStep,
  proxyFaultStep,
  delayedPlainStep,
  repeatFramesStep,
  killPlainStep,
  ...processSteps,
  ...platformSteps,
];

/** A caller that disconnects while its long answer is being generated. */
const callerGoneSequence: fc.Arbitrary<Step[]> = fc
  .tuple(
    cancelledStep.map((step) => ({
      ...step,
      cancelAfterMs: undefined,
      cancelAtFirstChunk: true,
    })),
    waitStep,
  );

/** Calls that arrive after every server of their service began to leave. */
const allLeavingSequence: fc.Arbitrary<Step[]> = plainStep.map((call) => [
  ...PLAIN_BACKEND_INDEXES.map((index) => ({
    kind: StepKind.SetLeaving as const,
    node: index,
    leaving: true,
  })),
  call,
]);

/**
 * A keyed call that is delayed on every link until its sender has timed out,
 * and its repetition.
 */
const lateCallSequence: fc.Arbitrary<Step[]> = plainStep.map((call) => [
  ...PLAIN_BACKEND_INDEXES.map((index) => ({
    kind: StepKind.ProxyFault as const,
    entry: call.entry,
    node: index,
    fault: ProxyFault.DelayDispatch,
  })),
  call,
]);

/** Every server of a plain service restarts while it executes a call. */
const restartDuringCallSequence: fc.Arbitrary<Step[]> = plainStep.map((
  call,
) => [
  call,
  { kind: StepKind.AwaitExecution as const },
  ...PLAIN_BACKEND_INDEXES.flatMap((index) => [
    { kind: StepKind.KillSidecar as const, node: index },
    { kind: StepKind.StartSidecar as const, node: index },
  ]),
]);

/** An answer whose frames all arrive twice. */
const repeatedFramesSequence: fc.Arbitrary<Step[]> = modelStep.map((call) => [
  {
    kind: StepKind.ProxyFault as const,
    entry: call.entry,
    node: 0,
    fault: ProxyFault.RepeatFrames,
  },
  { ...call, tokens: SHORT_ANSWER_TOKENS, stream: true },
  { kind: StepKind.AwaitChunks as const },
]);

/** Sequences of steps that set up one hazard each. */
const HAZARD_SEQUENCES: fc.Arbitrary<Step[]>[] = [
  callerGoneSequence,
  allLeavingSequence,
  lateCallSequence,
  restartDuringCallSequence,
  repeatedFramesSequence,
];

/** Arbitraries of what one command performs: a single step or a sequence. */
export const COMMAND_ARBITRARIES: fc.Arbitrary<Step[]>[] = [
  ...STEP_ARBITRARIES.map((arbitrary) => arbitrary.map((step) => [step])),
  ...HAZARD_SEQUENCES,
];

/** Formats a step as one line of a trace. */
export function describeStep(step: Step): string {
  const { kind, ...fields } = step;
  const parts = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${value}`);
  return [kind, ...parts].join(" ");
}
