/** Unit tests of the ledgers and the step model, with explicit times. */
import { describe, expect, test } from "@jest/globals";
import { type Engine, EngineStatus } from "@sassafrascleat/engine";
import {
  CancelState,
  RefusalReason,
  RequestClass,
} from "@sassafrascleat/protocol";
import { AttemptLedger, AttemptState } from "../attempt_ledger.ts";
import { CacheView } from "../cache_view.ts";
import { CapacityLedger, ReservationResult } from "../capacity.ts";
import { ReservationState } from "../reservation.ts";
import { predictWaitMs } from "../forecast.ts";
import { PlainCalls } from "../plain_calls.ts";
import { StepTimeModel } from "../step_model.ts";

function attemptLedger(capacity = 10) {
  return new AttemptLedger({ retentionMs: 100, capacity, onEnd: () => {} });
}

function capacityLedger(slots: number, pieces: number) {
  return new CapacityLedger({
    totalPieces: () => pieces,
    slots: () => slots,
    grantTtlMs: 500,
    remainingMs: (reservation) =>
      (reservation.expectedTokens - reservation.producedTokens) * 10,
  });
}

function placeRequest(id: string, expectedTokens = 10, promptTokens = 100) {
  return {
    id,
    requestClass: RequestClass.Standard,
    promptTokens,
    expectedTokens,
    maxTokens: 10_000,
  };
}

const attempt = (requestId: string, n: number) => ({ requestId, attempt: n });

describe("AttemptLedger", () => {
  test("a cancel that arrives before the attempt prevents its start", () => {
    const ledger = attemptLedger();
    expect(ledger.cancel(attempt("r", 2), 0)).toBe(CancelState.NotStarted);
    expect(ledger.refusal(attempt("r", 1))).toBe(RefusalReason.Superseded);
    expect(ledger.refusal(attempt("r", 2))).toBe(RefusalReason.Tombstoned);
    expect(ledger.refusal(attempt("r", 3))).toBeUndefined();
  });

  test("a cancel of an old attempt doesn't affect a newer one", () => {
    const ledger = attemptLedger();
    const record = ledger.admit(attempt("r", 2), "e", 0);
    ledger.cancel(attempt("r", 1), 0);
    expect(record.state).toBe(AttemptState.Reserved);
    expect(record.stop.signal.aborted).toBe(false);
  });

  test("a full ledger refuses new requests and keeps its tombstones", () => {
    const ledger = attemptLedger(1);
    ledger.cancel(attempt("r", 1), 0);
    expect(ledger.refusal(attempt("s", 1))).toBe(RefusalReason.Full);
    expect(ledger.prune(100, () => false)).toEqual([]);
    expect(ledger.prune(101, () => true)).toEqual([]);
    expect(ledger.prune(101, () => false)).toEqual(["r"]);
    expect(ledger.refusal(attempt("s", 1))).toBeUndefined();
  });
});

describe("CapacityLedger", () => {
  test("predicts waits behind earlier reservations, served in order", () => {
    const ledger = capacityLedger(1, 100);
    const wait = (id: string, maxWaitMs: number) =>
      ledger.reserve(placeRequest(id), maxWaitMs, 0);
    expect(wait("a", 0)).toMatchObject({ readyInMs: 0 });
    expect(wait("b", 99)).toEqual({
      result: ReservationResult.Full,
      retryAfterMs: 100,
    });
    expect(wait("b", 100)).toMatchObject({ readyInMs: 100 });
    expect(wait("c", 1_000)).toMatchObject({ readyInMs: 200 });
    ledger.release("a");
    expect(ledger.find("b")?.state).toBe(ReservationState.Held);
    expect(ledger.find("c")?.state).toBe(ReservationState.Waiting);
  });

  test("an occupied slot is never predicted to be free at once", () => {
    const ledger = capacityLedger(1, 100);
    ledger.reserve(placeRequest("a", 0), 0, 0);
    expect(ledger.reserve(placeRequest("b"), 0, 0).result)
      .toBe(ReservationResult.Full);
  });

  test("memory limits reservations as slots do, in the order of grants", () => {
    const ledger = capacityLedger(10, 4);
    ledger.reserve(placeRequest("a", 10, 5_000), 0, 0);
    ledger.reserve(placeRequest("b", 10, 5_000), 1_000, 0);
    ledger.reserve(placeRequest("c"), 1_000, 0);
    expect(ledger.freePieces).toBe(1);
    expect(ledger.find("c")?.state).toBe(ReservationState.Waiting);
    ledger.release("a");
    expect([ledger.find("b")?.state, ledger.find("c")?.state])
      .toEqual([ReservationState.Held, ReservationState.Held]);
  });

  test("a grant expires after its predicted start plus its lifetime", () => {
    const ledger = capacityLedger(1, 100);
    ledger.reserve(placeRequest("a"), 0, 0);
    ledger.reserve(placeRequest("b"), 1_000, 0);
    const expired = (now: number) => ledger.expired(now).map((p) => p.id);
    expect(expired(500)).toEqual([]);
    expect(expired(501)).toEqual(["a"]);
    expect(expired(601)).toEqual(["a", "b"]);
  });

  test("growth past the total memory selects victims until enough is releasing", () => {
    const ledger = capacityLedger(10, 2);
    for (const id of ["a", "b"]) {
      ledger.reserve(placeRequest(id, 10, 1_800), 0, 0);
    }
    const [a, b] = [ledger.find("a"), ledger.find("b")];
    if (!a || !b) throw new Error("no reservations");
    a.state = ReservationState.Running;
    b.state = ReservationState.Running;
    ledger.recordTokens(a, 200);
    expect(ledger.deficit).toBe(1);
    expect(ledger.evictionCandidate()).toBe(b);
    b.state = ReservationState.Releasing;
    expect(ledger.deficit).toBe(0);
  });
});

describe("forecastMs", () => {
  const end = { startsInMs: 0, remainingMs: 2_000, pieces: 1 };

  test("the first of many ends is predicted well before the mean", () => {
    const ends = Array.from({ length: 20 }, () => end);
    expect(predictWaitMs([end], { slots: 1, pieces: 0 })).toBe(2_000);
    expect(predictWaitMs(ends, { slots: 1, pieces: 0 })).toBe(100);
    expect(predictWaitMs(ends, { slots: 3, pieces: 0 })).toBe(500);
  });

  test("memory delays the prediction, and an unmet need is infinite", () => {
    const ends = [end, { ...end, startsInMs: 500, pieces: 3 }];
    expect(predictWaitMs(ends, { slots: 0, pieces: 0 })).toBe(0);
    expect(predictWaitMs(ends, { slots: 1, pieces: 4 })).toBeGreaterThan(2_000);
    expect(predictWaitMs(ends, { slots: 3, pieces: 0 })).toBe(Infinity);
  });
});

describe("StepTimeModel", () => {
  test("finds the largest batch with steps under the target", () => {
    const model = new StepTimeModel();
    expect(model.slots(43, 20)).toBe(20);
    for (let batch = 1; batch <= 16; batch++) {
      model.observe(batch, 20 + 2 * batch);
    }
    expect(model.stepMs(30)).toBeCloseTo(80);
    expect(model.slots(43, 20)).toBe(11);
    expect(model.slots(1, 20)).toBe(1);
  });
});

describe("CacheView", () => {
  test("a gap in the events triggers a new snapshot", async () => {
    const events = [{ number: 2, added: ["b"], evicted: [] as string[] }];
    const snapshot = { number: 1, pieces: ["a"] };
    const engine = {
      cacheEvents: async () => events,
      cacheSnapshot: async () => snapshot,
    } as Partial<Engine> as Engine;
    const view = new CacheView(engine);
    await view.poll();
    await view.poll();
    expect(view.cachedTokens(["a", "b", "c"])).toBe(4_000);
    events[0] = { number: 4, added: [], evicted: ["a"] };
    Object.assign(snapshot, { number: 4, pieces: ["b"] });
    await view.poll();
    expect([view.resyncs, view.cachedTokens(["b", "a"])]).toEqual([2, 2_000]);
  });
});

describe("PlainCalls", () => {
  test("answers beyond the size limit are reported as unknown, not rerun", async () => {
    let calls = 0;
    const attempts = attemptLedger();
    const capacity = capacityLedger(10, Infinity);
    const plain = new PlainCalls({
      incarnation: "i",
      attempts,
      capacity,
      clock: { now: () => 0 },
      maxRetainedBytes: 10,
      onDuration: () => {},
      backend: {
        call: async () => {
          calls++;
          const answer = {
            status: 200,
            headers: {},
            bodyBase64: "x".repeat(8),
          };
          return { status: EngineStatus.Ok, answer };
        },
      },
    });
    const call = async (requestId: string) => {
      const ref = attempt(requestId, 1);
      if (!attempts.find(ref)) attempts.admit(ref, "e", 0);
      capacity.reserve(placeRequest(`${requestId}/1`), 0, 0);
      const reply = await plain.call({
        ...ref,
        entryId: "e",
        incarnation: "i",
        method: "GET",
        path: "/",
        headers: {},
        bodyBase64: "",
        timeoutMs: 1_000,
      });
      return reply.state;
    };
    expect(await call("a")).toBe("answered");
    expect(await call("b")).toBe("answered");
    expect(await call("a")).toBe("unknown");
    expect(calls).toBe(2);
  });
});
