/**
 * The oracle: what callers were told, against what the stand-ins did. It knows
 * nothing of entries and sidecars.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { expectedText } from "@sassafrascleat/testing";
import { until } from "../until.ts";
import type { CallRecords, ModelRecord, PlainRecord } from "./records.ts";
import type { World } from "./world.ts";

/** Bound on engine memory held after the last caller is gone, in milliseconds. */
const MEMORY_BOUND_MS = 8_000;

function executionsOf(world: World, body: string): number {
  return world.byRole(BackendRole.Plain).reduce(
    (total, { plain }) => total + (plain?.books().executionsByBody[body] ?? 0),
    0,
  );
}

function checkModel(world: World, record: ModelRecord): string[] {
  const { answer, prompt, tokens } = record;
  if (record.hung) return ["a model request got no end"];
  if (!answer) return [];
  const expected = expectedText(prompt, tokens);
  if (answer.finished && answer.text !== expected) {
    return [`a finished answer is not whole: ${answer.requestId}`];
  }
  if (!expected.startsWith(answer.text)) {
    return [`tokens were lost, repeated or crossed: ${answer.requestId}`];
  }
  if (answer.outcome !== "not_run") return [];
  const ran = world.byRole(BackendRole.Decode).some(({ engine }) =>
    (engine?.books().tokensByRequest[answer.requestId] ?? 0) > 0
  );
  return ran ? [`told not run, but tokens exist: ${answer.requestId}`] : [];
}

function checkModelLeaving(world: World, record: ModelRecord): string[] {
  const id = record.answer?.requestId;
  if (!id) return [];
  return world.nodes.flatMap(({ listed, engine }) => {
    if (!record.leaving.has(listed.name)) return [];
    const ran = Object.keys(engine?.books().executions ?? {})
      .some((key) => key.startsWith(`${id}/`));
    return ran ? [`${listed.name} was leaving and took ${id}`] : [];
  });
}

function checkPlain(world: World, record: PlainRecord): string[] {
  if (record.hung) return ["a plain call got no end"];
  const { body, result } = record;
  if (result?.status !== 200) return [];
  const echo = (JSON.parse(result.body) as { echo: string }).echo;
  if (echo !== body) return [`the answer of another call: ${body}`];
  const ran = executionsOf(world, body) > 0;
  return ran ? [] : [`answered, but never run: ${body}`];
}

function checkPlainLeaving(world: World, record: PlainRecord): string[] {
  return world.byRole(BackendRole.Plain).flatMap(({ listed, plain }) => {
    if (!record.leaving.has(listed.name)) return [];
    const ran = (plain?.books().executionsByBody[record.body] ?? 0) > 0;
    return ran ? [`${listed.name} was leaving and ran ${record.body}`] : [];
  });
}

/** Checks all calls with one body, which are one order of a caller. */
function checkOrder(
  world: World,
  body: string,
  records: readonly PlainRecord[],
): string[] {
  if (records.some((record) => record.repeatable)) return [];
  const count = executionsOf(world, body);
  const problems: string[] = [];
  if (count > 1) problems.push(`executed ${count} times: ${body}`);
  const outcomes = records.map((record) => record.result?.outcome);
  const allNotRun = outcomes.every((outcome) => outcome === "not_run");
  if (allNotRun && count > 0) problems.push(`told not run, but ran: ${body}`);
  const answers = records.flatMap(({ result }) =>
    result?.status === 200 ? [result.body] : []
  );
  if (new Set(answers).size > 1) problems.push(`two answers: ${body}`);
  return problems;
}

function checkOrders(
  world: World,
  plains: readonly PlainRecord[],
): string[] {
  return [...groupByBody(plains)].flatMap(([body, records]) =>
    checkOrder(world, body, records)
  );
}

function groupByBody(
  plains: readonly PlainRecord[],
): Map<string, PlainRecord[]> {
  const groups = new Map<string, PlainRecord[]>();
  for (const record of plains) {
    const group = groups.get(record.body) ?? [];
    group.push(record);
    groups.set(record.body, group);
  }
  return groups;
}

async function checkMemory(world: World): Promise<string[]> {
  const held = () =>
    world.nodes.flatMap(({ engine }) => engine?.books().heldIds ?? []);
  const freed = await until(() => held().length === 0, MEMORY_BOUND_MS);
  return freed ? [] : [`engines still hold ${held().join(" ")}`];
}

/** Everything that a finished run broke; empty when all promises held. */
export async function checkRun(
  world: World,
  records: CallRecords,
): Promise<string[]> {
  const memory = await checkMemory(world);
  return [
    ...records.models.flatMap((record) => checkModel(world, record)),
    ...records.models.flatMap((record) => checkModelLeaving(world, record)),
    ...records.plains.flatMap((record) => checkPlain(world, record)),
    ...records.plains.flatMap((record) => checkPlainLeaving(world, record)),
    ...checkOrders(world, records.plains),
    ...memory,
  ];
}
