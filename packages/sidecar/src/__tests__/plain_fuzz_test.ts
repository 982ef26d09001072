/**
 * Sends random sequences of messages to `PlainCalls` and checks that a request
 * is executed at most once, that an attempt reported as not run has not run and
 * never does, and that no attempt gets the answer to another request.
 */
import { expect, test } from "@jest/globals";
import { type EnginePlainResult, EngineStatus } from "@sassafrascleat/engine";
import {
  type PlainCallReply,
  PlainCallState,
  RefusalReason,
  RequestClass,
} from "@sassafrascleat/protocol";
import { ManualClock } from "@sassafrascleat/runtime";
import fc from "fast-check";
import { attemptId, AttemptLedger, isOpen } from "../attempt_ledger.ts";
import { CapacityLedger } from "../capacity.ts";
import { PlainCalls } from "../plain_calls.ts";

enum Action {
  Reserve = "reserve",
  Call = "call",
  Settle = "settle",
  AttachOnly = "look",
  Cancel = "cancel",
  Expire = "expire",
  Answer = "answer",
  LoseAnswer = "break",
  FailUnsent = "unsent",
}

interface Step {
  act: Action;
  requestId: string;
  attempt: number;
}

type Finish = (result: EnginePlainResult) => void;

/** `PlainCalls` with a backend whose calls end when a step says so. */
class TestSystem {
  readonly executed: string[] = [];
  readonly reportedNotRun = new Set<string>();
  /** Attempts that got the answer to another request. */
  readonly misdelivered: string[] = [];
  readonly #clock = new ManualClock();
  readonly #pending: { id: string; finish: Finish }[] = [];
  readonly #capacity = new CapacityLedger({
    totalPieces: () => Infinity,
    slots: () => 2,
    grantTtlMs: 50,
    remainingMs: () => 10,
  });
  readonly #attempts = new AttemptLedger({
    retentionMs: 1e9,
    capacity: 1e6,
    onEnd: (record) => {
      this.#capacity.release(attemptId(record));
    },
  });
  readonly #plain = new PlainCalls({
    incarnation: "i",
    attempts: this.#attempts,
    capacity: this.#capacity,
    clock: this.#clock,
    maxRetainedBytes: 1e6,
    onDuration: () => {},
    backend: {
      call: (req) =>
        new Promise((finish) => {
          const id = Buffer.from(req.bodyBase64, "base64").toString();
          this.#pending.push({ id, finish });
        }),
    },
  });

  async apply(step: Step): Promise<void> {
    this.#clock.advance(1);
    if (step.act === Action.Reserve) this.#reserve(step);
    if (step.act === Action.Call) this.#call(step);
    if (step.act === Action.Settle) this.#attach(step, true);
    if (step.act === Action.AttachOnly) this.#attach(step, false);
    if (step.act === Action.Cancel) this.#attempts.cancel(step, this.#now);
    if (step.act === Action.Expire) this.#expire();
    if (step.act === Action.Answer) this.#finish(Action.Answer);
    if (step.act === Action.LoseAnswer) this.#finish(Action.LoseAnswer);
    if (step.act === Action.FailUnsent) this.#finish(Action.FailUnsent);
    await new Promise(setImmediate);
  }

  /** Ends all calls, so that no promise stays pending. */
  async close(): Promise<void> {
    for (let left = 20; left > 0; left--) {
      this.#finish(Action.Answer);
      await new Promise(setImmediate);
    }
    this.#attempts.stopAll();
  }

  get #now(): number {
    return this.#clock.now();
  }

  #reserve(step: Step): void {
    if (this.#attempts.refusal(step) || this.#attempts.find(step)) return;
    this.#attempts.supersede(step, this.#now);
    this.#capacity.reserve(
      {
        id: attemptId(step),
        requestClass: RequestClass.Standard,
        promptTokens: 0,
        expectedTokens: 0,
        maxTokens: 0,
      },
      1_000,
      this.#now,
    );
    this.#attempts.admit(step, "e", this.#now);
  }

  #call(step: Step): void {
    const bodyBase64 = Buffer.from(attemptId(step)).toString("base64");
    const call = { method: "POST", path: "/", headers: {}, bodyBase64 };
    const ref = { requestId: step.requestId, attempt: step.attempt };
    const common = { entryId: "e", incarnation: "i", timeoutMs: 60_000 };
    const reply = this.#plain.call({ ...ref, ...call, ...common });
    void reply.then((value) => this.#recordReply(step, value));
  }

  #attach(step: Step, settle: boolean): void {
    const ref = { requestId: step.requestId, attempt: step.attempt };
    const req = { ...ref, incarnation: "i", waitMs: 0, settle };
    void this.#plain.attach(req).then((value) =>
      this.#recordReply(step, value)
    );
  }

  #expire(): void {
    this.#clock.advance(1_000);
    for (const record of this.#attempts.open()) {
      const reservation = this.#capacity.find(attemptId(record));
      const running = this.#plain.started(record.requestId);
      if (!reservation || running || !isOpen(record)) continue;
      this.#attempts.end(record, RefusalReason.GrantExpired, this.#now);
    }
  }

  #finish(act: Action): void {
    const call = this.#pending.shift();
    if (!call) return;
    if (act !== Action.FailUnsent) this.executed.push(call.id);
    const answer = { status: 200, headers: {}, bodyBase64: call.id };
    call.finish(
      act === Action.Answer ? { status: EngineStatus.Ok, answer } : {
        status: EngineStatus.Unreachable,
        sent: act === Action.LoseAnswer,
        message: "broken",
      },
    );
  }

  #recordReply(step: Step, reply: PlainCallReply): void {
    if (reply.state === PlainCallState.NotRun) {
      this.reportedNotRun.add(attemptId(step));
    }
    if (reply.state !== PlainCallState.Answered) return;
    const ran = reply.answer.bodyBase64.split("/")[0];
    if (ran !== step.requestId) this.misdelivered.push(attemptId(step));
  }
}

const common = [
  Action.Reserve,
  Action.Reserve,
  Action.Reserve,
  Action.Call,
  Action.Call,
];
const steps = fc.array(
  fc.record({
    act: fc.constantFrom(...common, ...Object.values(Action)),
    requestId: fc.constantFrom("a", "b", "c"),
    attempt: fc.constantFrom(1, 1, 2),
  }),
  { minLength: 20, maxLength: 60, size: "max" },
);

test("plain calls run at most once and NotRun stays true", async () => {
  let executions = 0;
  let denials = 0;
  await fc.assert(
    fc.asyncProperty(steps, async (sequence) => {
      const system = new TestSystem();
      for (const step of sequence) await system.apply(step);
      await system.close();
      const requests = system.executed.map((id) => id.split("/")[0]);
      expect(requests.length).toBe(new Set(requests).size);
      expect(system.executed.filter((id) => system.reportedNotRun.has(id)))
        .toEqual([]);
      expect(system.misdelivered).toEqual([]);
      executions += system.executed.length;
      denials += system.reportedNotRun.size;
    }),
    { seed: 4711, numRuns: 400 },
  );
  expect(executions).toBeGreaterThan(100);
  expect(denials).toBeGreaterThan(100);
});
