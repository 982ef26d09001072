/**
 * Test oracle: compares the results that callers received with what the
 * stand-ins executed. It does not depend on entries and sidecars.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { expectedText } from "@sassafrascleat/testing";
import { until } from "../until.ts";
import type { CallRecords, ModelRecord, PlainRecord } from "./records.ts";
import type { FuzzDeployment } from "./deployment.ts";

/**
 * Time limit for engines to free memory after the last call, in milliseconds.
 */
const MEMORY_RELEASE_TIMEOUT_MS = 8_000;

/** Number of times that servers began to execute a plain call with `body`. */
export function executionsOf(
  deployment: FuzzDeployment,
  body: string,
): number {
  return deployment.byRole(BackendRole.Plain).reduce(
    (total, { plain }) => total + (plain?.stats().executionsByBody[body] ?? 0),
    0,
  );
}

function checkModel(deployment: FuzzDeployment, record: ModelRecord): string[] {
  const { answer, prompt, tokens } = record;
  if (record.hung) return ["a model request never ended"];
  if (!answer) return [];
  const expected = expectedText(prompt, tokens);
  if (answer.finished && answer.text !== expected) {
    return [`a finished answer is incomplete or wrong: ${answer.requestId}`];
  }
  if (!expected.startsWith(answer.text)) {
    return [
      `tokens were lost, repeated or mixed between requests: ${answer.requestId}`,
    ];
  }
  if (answer.outcome !== "not_run") return [];
  const ran = deployment.byRole(BackendRole.Decode).some(({ engine }) =>
    (engine?.stats().tokensByRequest[answer.requestId] ?? 0) > 0
  );
  return ran
    ? [`reported as not run, but tokens were produced: ${answer.requestId}`]
    : [];
}

function checkModelLeaving(
  deployment: FuzzDeployment,
  record: ModelRecord,
): string[] {
  const id = record.answer?.requestId;
  if (!id) return [];
  return deployment.backends.flatMap(({ listed, engine }) => {
    if (!record.leaving.has(listed.name)) return [];
    const ran = Object.keys(engine?.stats().executions ?? {})
      .some((key) => key.startsWith(`${id}/`));
    return ran ? [`${listed.name} was leaving but accepted ${id}`] : [];
  });
}

function checkPlain(deployment: FuzzDeployment, record: PlainRecord): string[] {
  if (record.hung) return ["a plain call never ended"];
  const { body, result } = record;
  if (result?.status !== 200) return [];
  const echo = (JSON.parse(result.body) as { echo: string }).echo;
  if (echo !== body) return [`received the answer of another call: ${body}`];
  const ran = executionsOf(deployment, body) > 0;
  return ran ? [] : [`answered but never executed: ${body}`];
}

function checkPlainLeaving(
  deployment: FuzzDeployment,
  record: PlainRecord,
): string[] {
  return deployment.byRole(BackendRole.Plain).flatMap(({ listed, plain }) => {
    if (!record.leaving.has(listed.name)) return [];
    const ran = (plain?.stats().executionsByBody[record.body] ?? 0) > 0;
    return ran
      ? [`${listed.name} was leaving but executed ${record.body}`]
      : [];
  });
}

/** Checks all calls with the same body, which are retries of the same order. */
function checkOrder(
  deployment: FuzzDeployment,
  body: string,
  records: readonly PlainRecord[],
): string[] {
  if (records.some((record) => record.repeatable)) return [];
  const count = executionsOf(deployment, body);
  const problems: string[] = [];
  if (count > 1) problems.push(`executed ${count} times: ${body}`);
  const outcomes = records.map((record) => record.result?.outcome);
  const allNotRun = outcomes.every((outcome) => outcome === "not_run");
  if (allNotRun && count > 0) {
    problems.push(`reported as not run, but executed: ${body}`);
  }
  const answers = records.flatMap(({ result }) =>
    result?.status === 200 ? [result.body] : []
  );
  if (new Set(answers).size > 1) problems.push(`different answers: ${body}`);
  return problems;
}

function checkOrders(
  deployment: FuzzDeployment,
  calls: readonly PlainRecord[],
): string[] {
  return [...groupByBody(calls)].flatMap(([body, records]) =>
    checkOrder(deployment, body, records)
  );
}

function groupByBody(
  calls: readonly PlainRecord[],
): Map<string, PlainRecord[]> {
  const groups = new Map<string, PlainRecord[]>();
  for (const record of calls) {
    const group = groups.get(record.body) ?? [];
    group.push(record);
    groups.set(record.body, group);
  }
  return groups;
}

async function checkMemory(deployment: FuzzDeployment): Promise<string[]> {
  const held = () =>
    deployment.backends.flatMap(({ engine }) => engine?.stats().heldIds ?? []);
  const freed = await until(
    () => held().length === 0,
    MEMORY_RELEASE_TIMEOUT_MS,
  );
  return freed ? [] : [`engines still hold memory for ${held().join(" ")}`];
}

/**
 * Returns the guarantees that a finished run violated; empty if there are none.
 */
export async function checkRun(
  deployment: FuzzDeployment,
  records: CallRecords,
): Promise<string[]> {
  const memory = await checkMemory(deployment);
  return [
    ...records.modelRequests.flatMap((record) =>
      checkModel(deployment, record)
    ),
    ...records.modelRequests.flatMap((record) =>
      checkModelLeaving(deployment, record)
    ),
    ...records.plainCalls.flatMap((record) => checkPlain(deployment, record)),
    ...records.plainCalls.flatMap((record) =>
      checkPlainLeaving(deployment, record)
    ),
    ...checkOrders(deployment, records.plainCalls),
    ...memory,
  ];
}
