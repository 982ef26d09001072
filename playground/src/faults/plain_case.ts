/** Runs one fault-injection case on a call that must not run twice. */
import { deadlineSignal } from "@sassafrascleat/runtime";
import { randomUUID } from "node:crypto";
import { callPlain, type PlainResult } from "../caller/plain_caller.ts";
import { type Rig, RIG_PLAIN_SERVICE } from "../rig/index.ts";
import { type Fault, heal, injectFault } from "./faults.ts";
import {
  delayPlainStep,
  executionsOf,
  PlainInjectionPoint,
  resetPlainDelays,
  takePlainBaseline,
  waitForPlainInjectionPoint,
} from "./plain_injection_points.ts";

/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 15_000;

/** Result of a case. */
export interface PlainCaseReport {
  first: PlainResult | undefined;
  second: PlainResult | undefined;
  /** False if the call ended before the injection point. */
  injectionPointReached: boolean;
  problems: string[];
}

/** A call's body with its idempotency key. */
interface Order {
  body: string;
  idempotencyKey: string;
}

function send(
  rig: Rig,
  entry: 0 | 1,
  order: Order,
  signal?: AbortSignal,
): Promise<PlainResult | undefined> {
  return callPlain({
    address: rig.entries[entry].address,
    service: RIG_PLAIN_SERVICE,
    method: "POST",
    path: "/swaps",
    ...order,
    signal: deadlineSignal(CALL_TIMEOUT_MS, signal),
  }).catch(() => undefined);
}

function checkFirst(
  rig: Rig,
  order: Order,
  first: PlainResult | undefined,
): string[] {
  const count = executionsOf(rig, order.body);
  const problems: string[] = [];
  if (count > 1) problems.push(`executed ${count} times`);
  if (first?.status === 200 && count !== 1) {
    problems.push("answered but not executed");
  }
  if (first?.outcome === "not_run" && count !== 0) {
    problems.push("reported as not run, but executed");
  }
  return problems;
}

function checkSecond(
  rig: Rig,
  order: Order,
  first: PlainResult | undefined,
  second: PlainResult | undefined,
): string[] {
  const count = executionsOf(rig, order.body);
  const problems: string[] = [];
  if (count > 1) problems.push(`executed ${count} times after a retry`);
  if (!second) problems.push("the retry got no answer");
  if (second?.status === 200 && count !== 1) {
    problems.push("the retry was answered but not executed");
  }
  if (second?.outcome === "not_run" && count > 0) {
    problems.push(
      "the retry was reported as not run, but the order was executed",
    );
  }
  const bothAnswered = first?.status === 200 && second?.status === 200;
  if (bothAnswered && first.body !== second.body) {
    problems.push("the retry got a different answer");
  }
  return problems;
}

/**
 * Sends an order with an idempotency key through one entry, injects the faults,
 * heals them, and sends the same order and key through the other entry.
 */
export async function runPlainCase(
  rig: Rig,
  point: PlainInjectionPoint,
  faults: readonly Fault[],
): Promise<PlainCaseReport> {
  const id = randomUUID();
  const order = { body: JSON.stringify({ swap: id }), idempotencyKey: id };
  const before = await takePlainBaseline(rig);
  const caller = new AbortController();
  const injectAll = () =>
    Promise.all(faults.map((fault) => injectFault(fault, { rig, caller })));
  delayPlainStep(rig, point);
  if (point === PlainInjectionPoint.BeforeDispatch) await injectAll();
  let over = false;
  const call = send(rig, 0, order, caller.signal)
    .finally(() => over = true);
  const injectionPointReached = await waitForPlainInjectionPoint(
    rig,
    point,
    before,
    () => over,
  );
  if (point !== PlainInjectionPoint.BeforeDispatch) await injectAll();
  resetPlainDelays(rig);
  const first = await call;
  const problems = checkFirst(rig, order, first);
  await heal(rig);
  const second = await send(rig, 1, order);
  problems.push(...checkSecond(rig, order, first, second));
  return { first, second, injectionPointReached, problems };
}

/**
 * Sends the same order through both entries at once while faults are injected.
 */
export async function runRacingCase(
  rig: Rig,
  faults: readonly Fault[],
): Promise<PlainCaseReport> {
  const id = randomUUID();
  const order = { body: JSON.stringify({ race: id }), idempotencyKey: id };
  const caller = new AbortController();
  delayPlainStep(rig, PlainInjectionPoint.Executing);
  const calls = Promise.all([
    send(rig, 0, order, caller.signal),
    send(rig, 1, order),
  ]);
  await Promise.all(faults.map((fault) => injectFault(fault, { rig, caller })));
  const [first, second] = await calls;
  resetPlainDelays(rig);
  await heal(rig);
  const third = await send(rig, 1, order);
  const problems = [
    ...checkFirst(rig, order, undefined),
    ...checkSecond(rig, order, first, third),
    ...checkSecond(rig, order, second, third),
  ];
  return { first, second: third, injectionPointReached: true, problems };
}
