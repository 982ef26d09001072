/** Order, aging, fairness and length limit of the admission queue. */
import { describe, expect, test } from "@jest/globals";
import { NotRunReason, RequestClass } from "@sassafrascleat/protocol";
import fc from "fast-check";
import { type AdmissionTicket, createAdmissionQueue } from "../index.ts";

function ticket(id: string, overrides: Partial<AdmissionTicket> = {}) {
  const arrivedAtMs = overrides.arrivedAtMs ?? 0;
  return {
    requestId: id,
    customer: "c",
    requestClass: RequestClass.Standard,
    arrivedAtMs,
    firstTokenDueMs: arrivedAtMs + 570,
    queueDeadlineMs: arrivedAtMs + 10_000,
    expectedServiceMs: 100,
    ...overrides,
  };
}

const arbitraryTicket = fc.record({
  customer: fc.constantFrom("a", "b", "c"),
  requestClass: fc.constantFrom(...Object.values(RequestClass)),
  arrivedAtMs: fc.integer({ min: 0, max: 2_000 }),
  expectedServiceMs: fc.integer({ min: 0, max: 800 }),
});

describe("order", () => {
  test("partly answered tickets first, then by due time and class, late tickets last", () => {
    const queue = createAdmissionQueue();
    queue.offer(ticket("late", { firstTokenDueMs: 50 }), 0);
    queue.offer(ticket("batch", { requestClass: RequestClass.Batch }), 0);
    queue.offer(ticket("loose", { firstTokenDueMs: 900 }), 0);
    queue.offer(ticket("tight", { firstTokenDueMs: 300 }), 0);
    queue.offer(
      ticket("half", { partlyAnswered: true, firstTokenDueMs: 0 }),
      0,
    );
    const order = [1, 2, 3, 4, 5].map(() => queue.next(0)?.requestId);
    expect(order).toEqual(["half", "tight", "loose", "batch", "late"]);
    expect(queue.next(0)).toBeUndefined();
  });

  test("next returns every offered ticket exactly once", () => {
    fc.assert(
      fc.property(fc.array(arbitraryTicket, { maxLength: 60 }), (drawn) => {
        const queue = createAdmissionQueue();
        drawn.forEach((it, i) => queue.offer(ticket(`r${i}`, it), 0));
        const out = new Set<string>();
        for (let i = 0; i < drawn.length; i++) {
          out.add(queue.next(i * 50)!.requestId);
        }
        expect(out.size).toBe(drawn.length);
        expect(queue.size).toBe(0);
      }),
      { seed: 11 },
    );
  });
});

describe("aging", () => {
  test("a ticket with n older ones is served within (n + 1) * interval picks", () => {
    fc.assert(
      fc.property(
        fc.array(arbitraryTicket, { minLength: 1, maxLength: 20 }),
        fc.integer({ min: 2, max: 6 }),
        (drawn, interval) => {
          const queue = createAdmissionQueue({ oldestPickInterval: interval });
          const patient = drawn.map((it, i) => ticket(`r${i}`, it));
          for (const it of patient) queue.offer(it, 0);
          const left = new Set(patient.map((it) => it.requestId));
          const picks = interval * drawn.length;
          for (let i = 0; i < picks; i++) {
            const nowMs = 5_000 + i;
            const fresh = { arrivedAtMs: nowMs, customer: `new${i}` };
            queue.offer(
              ticket(`f${i}`, {
                ...fresh,
                requestClass: RequestClass.Interactive,
              }),
              nowMs,
            );
            left.delete(queue.next(nowMs)!.requestId);
          }
          expect([...left]).toEqual([]);
        },
      ),
      { seed: 12 },
    );
  });
});

describe("fairness", () => {
  test("a burst of one customer does not delay the first tickets of others", () => {
    const queue = createAdmissionQueue({ fairnessSlackMs: 200 });
    for (let i = 0; i < 100; i++) {
      queue.offer(ticket(`burst${i}`, { customer: "burst" }), 0);
    }
    queue.offer(ticket("other", { customer: "other", arrivedAtMs: 1 }), 1);
    const picks: string[] = [];
    while (!picks.includes("other")) picks.push(queue.next(1)!.requestId);
    expect(picks.length).toBeLessThanOrEqual(4);
  });

  test("the difference in service time between two backlogged customers is bounded", () => {
    const cost = fc.integer({ min: 1, max: 300 });
    fc.assert(
      fc.property(
        fc.array(cost, { minLength: 40, maxLength: 60 }),
        fc.array(cost, { minLength: 40, maxLength: 60 }),
        (costsA, costsB) => {
          const queue = createAdmissionQueue({
            fairnessSlackMs: 250,
            oldestPickInterval: 1_000,
          });
          const costs = { a: costsA, b: costsB };
          for (const [customer, list] of Object.entries(costs)) {
            list.forEach((expectedServiceMs, i) => {
              const it = { customer, expectedServiceMs };
              queue.offer(ticket(`${customer}${i}`, it), 0);
            });
          }
          const served: Record<string, number> = { a: 0, b: 0 };
          for (let i = 0; i < 40; i++) {
            const it = queue.next(0)!;
            served[it.customer]! += it.expectedServiceMs;
            const apart = Math.abs(served["a"]! - served["b"]!);
            expect(apart).toBeLessThanOrEqual(250 + 300);
          }
        },
      ),
      { seed: 13 },
    );
  });
});

describe("bounds", () => {
  test("a full queue sheds a late ticket before it rejects a new one", () => {
    const queue = createAdmissionQueue({ maxLength: 2 });
    queue.offer(ticket("late", { firstTokenDueMs: 10 }), 0);
    queue.offer(
      ticket("half", { firstTokenDueMs: 10, partlyAnswered: true }),
      0,
    );
    expect(queue.offer(ticket("ok"), 0)).toBeUndefined();
    expect(queue.expired(0).map((it) => it.requestId)).toEqual(["late"]);
    const second = queue.offer(ticket("late2", { firstTokenDueMs: 10 }), 0);
    expect(second?.reason).toBe(NotRunReason.QueueFull);
    expect(queue.size).toBe(2);
  });

  test("a full queue sheds a ticket of the customer with the most waiting tickets", () => {
    const queue = createAdmissionQueue({ maxLength: 3 });
    for (const id of ["b1", "b2", "b3"]) {
      queue.offer(ticket(id, { customer: "burst" }), 0);
    }
    expect(queue.offer(ticket("o", { customer: "other" }), 0)).toBeUndefined();
    expect(queue.expired(0)).toHaveLength(1);
    expect(queue.offer(ticket("b4", { customer: "burst" }), 0)?.reason)
      .toBe(NotRunReason.QueueFull);
  });

  test("expired removes timed-out tickets; a requeued ticket keeps its arrival time", () => {
    const queue = createAdmissionQueue();
    queue.offer(ticket("r"), 0);
    queue.requeue(queue.next(0)!);
    expect(queue.expired(9_999)).toEqual([]);
    expect(queue.expired(10_000).map((it) => it.requestId)).toEqual(["r"]);
    expect(queue.size).toBe(0);
  });
});
