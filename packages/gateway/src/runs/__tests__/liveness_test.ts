import { describe, expect, test } from "@jest/globals";
import { sleep, systemClock } from "@sassafrascleat/runtime";
import { type Backend, BackendState } from "../../backends/backend.ts";
import { ExchangeOutcome, type ExchangeResult } from "../../http/exchange.ts";
import { CallFailure } from "../../http/upstream_call.ts";
import { Liveness, livenessOf } from "../liveness.ts";
import { LivenessChecks } from "../liveness_checks.ts";

const backend: Backend = {
  id: "a",
  service: "s",
  address: "127.0.0.1:1",
  zone: "z",
  slots: 1,
  state: BackendState.Ready,
  version: "v1",
};

/** Checks whose calls respond with `answers`, one after another. */
function checksWith(answers: [Liveness, number][]) {
  let asked = 0;
  const checks = new LivenessChecks({
    clock: systemClock,
    ask: async () => {
      const [liveness, delayMs] = answers[asked] ?? [Liveness.Silent, 100];
      asked += 1;
      await sleep(delayMs);
      return liveness;
    },
  });
  return { checks, asked: () => asked };
}

test.each([
  ["ECONNREFUSED", Liveness.Gone],
  ["ECONNRESET", Liveness.Refusing],
  ["UND_ERR_SOCKET", Liveness.Refusing],
  ["UND_ERR_CONNECT_TIMEOUT", Liveness.Silent],
  ["EHOSTUNREACH", Liveness.Silent],
  [undefined, Liveness.Silent],
])(
  "a call that failed with %s shows that the server is %s",
  (code, expected) => {
    const result: ExchangeResult = {
      end: ExchangeOutcome.Failed,
      failure: CallFailure.Unreachable,
      sent: false,
      timedOut: false,
      message: "",
      code,
      elapsedMs: 1,
    };
    expect(livenessOf(result)).toBe(expected);
  },
);

test.each([[200, Liveness.Alive], [503, Liveness.Alive], [421, Liveness.Gone]])(
  "a response with %i shows that the server is %s",
  (status, expected) => {
    const end = ExchangeOutcome.Answered;
    const body = Buffer.alloc(0);
    expect(livenessOf({ end, status, headers: [], body, elapsedMs: 1 }))
      .toBe(expected);
  },
);

test("a response of a later incarnation shows that the server is gone", () => {
  const end = ExchangeOutcome.Answered;
  const body = Buffer.alloc(0);
  const result = { end, status: 200, headers: [], body, elapsedMs: 1 } as const;
  expect(livenessOf(result, true)).toBe(Liveness.Gone);
});

describe("a check", () => {
  test("reports a silent server without waiting for its answer", async () => {
    const { checks } = checksWith([[Liveness.Alive, 300]]);
    expect(await checks.check(backend, { waitMs: 100 })).toBe(Liveness.Silent);
  });

  test("that may wait longer gets the answer of the same call", async () => {
    const { checks, asked } = checksWith([[Liveness.Alive, 300]]);
    const short = checks.check(backend, { waitMs: 100 });
    expect(await checks.check(backend, { waitMs: 1_000 })).toBe(Liveness.Alive);
    expect([await short, asked()]).toEqual([Liveness.Silent, 1]);
  });

  test("asks again after a call that was lost", async () => {
    const { checks } = checksWith([[Liveness.Silent, 0], [Liveness.Gone, 0]]);
    expect(await checks.check(backend, { waitMs: 1_000 })).toBe(Liveness.Gone);
  });

  // An engine with its queue full reset a new connection and was taken for
  // crashed, although the stream's own connection was open.
  test("TWICE: takes resets for a crash only without an open connection", async () => {
    const { checks } = checksWith([[Liveness.Refusing, 10]]);
    expect(await checks.check(backend)).toBe(Liveness.Gone);
    const options = { waitMs: 100, hasConnection: true };
    expect(await checks.check(backend, options)).toBe(Liveness.Silent);
  });

  test("asks a refusing server again while a connection is open", async () => {
    const { checks, asked } = checksWith([
      [Liveness.Refusing, 10],
      [Liveness.Alive, 10],
    ]);
    const options = { waitMs: 1_000, hasConnection: true };
    expect(await checks.check(backend, options)).toBe(Liveness.Alive);
    expect(asked()).toBe(2);
  });

  test("counts only calls that began late enough, which are shared", async () => {
    const { checks, asked } = checksWith([
      [Liveness.Alive, 30],
      [Liveness.Gone, 30],
    ]);
    const early = checks.check(backend);
    await sleep(10);
    const options = { sinceMs: systemClock.now() };
    const late = [0, 1, 2].map(() => checks.check(backend, options));
    expect(await early).toBe(Liveness.Alive);
    expect(new Set(await Promise.all(late))).toEqual(new Set([Liveness.Gone]));
    expect(asked()).toBe(2);
  });
});
