/** One case of the table for calls that may not be repeated. */
import { deadlineSignal } from "@sassafrascleat/runtime";
import { randomUUID } from "node:crypto";
import { callPlain, type PlainResult } from "../caller/plain_caller.ts";
import { type Rig, RIG_PLAIN_SERVICE } from "../rig/index.ts";
import { type Fault, heal, strike } from "./faults.ts";
import {
  executionsOf,
  holdPlainStep,
  PlainMoment,
  releasePlainStep,
  takePlainBaseline,
  waitForPlainMoment,
} from "./plain_moments.ts";

/** Longest time until a call has ended, in milliseconds. */
const CALL_LIMIT_MS = 15_000;

/** What became of a case. */
export interface PlainCaseReport {
  first: PlainResult | undefined;
  second: PlainResult | undefined;
  /** False when the moment never came. */
  struck: boolean;
  problems: string[];
}

/** One order of a buyer. */
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
    signal: deadlineSignal(CALL_LIMIT_MS, signal),
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
  if (first?.status === 200 && count !== 1) problems.push("answered, not run");
  if (first?.outcome === "not_run" && count !== 0) {
    problems.push("told not run, but it ran");
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
  if (count > 1) problems.push(`executed ${count} times after a repeat`);
  if (!second) problems.push("the repeat got no answer");
  if (second?.status === 200 && count !== 1) {
    problems.push("the repeat was answered, but not run");
  }
  if (second?.outcome === "not_run" && count > 0) {
    problems.push("the repeat was told not run, but the order ran");
  }
  const bothAnswered = first?.status === 200 && second?.status === 200;
  if (bothAnswered && first.body !== second.body) {
    problems.push("the repeat got another answer");
  }
  return problems;
}

/**
 * Sends an order with a key by one entry, strikes, heals, and sends the same
 * order with the same key by the other entry.
 */
export async function runPlainCase(
  rig: Rig,
  moment: PlainMoment,
  faults: readonly Fault[],
): Promise<PlainCaseReport> {
  const id = randomUUID();
  const order = { body: JSON.stringify({ swap: id }), idempotencyKey: id };
  const before = await takePlainBaseline(rig);
  const caller = new AbortController();
  const strikeAll = () =>
    Promise.all(faults.map((fault) => strike(fault, { rig, caller })));
  holdPlainStep(rig, moment);
  if (moment === PlainMoment.BeforeDispatch) await strikeAll();
  let over = false;
  const call = send(rig, 0, order, caller.signal)
    .finally(() => over = true);
  const struck = await waitForPlainMoment(rig, moment, before, () => over);
  if (moment !== PlainMoment.BeforeDispatch) await strikeAll();
  releasePlainStep(rig);
  const first = await call;
  const problems = checkFirst(rig, order, first);
  await heal(rig);
  const second = await send(rig, 1, order);
  problems.push(...checkSecond(rig, order, first, second));
  return { first, second, struck, problems };
}

/** Sends the same order by both entries at once while a fault strikes. */
export async function runRacingCase(
  rig: Rig,
  faults: readonly Fault[],
): Promise<PlainCaseReport> {
  const id = randomUUID();
  const order = { body: JSON.stringify({ race: id }), idempotencyKey: id };
  const caller = new AbortController();
  holdPlainStep(rig, PlainMoment.Executing);
  const calls = Promise.all([
    send(rig, 0, order, caller.signal),
    send(rig, 1, order),
  ]);
  await Promise.all(faults.map((fault) => strike(fault, { rig, caller })));
  const [first, second] = await calls;
  releasePlainStep(rig);
  await heal(rig);
  const third = await send(rig, 1, order);
  const problems = [
    ...checkFirst(rig, order, undefined),
    ...checkSecond(rig, order, first, third),
    ...checkSecond(rig, order, second, third),
  ];
  return { first, second: third, struck: true, problems };
}
