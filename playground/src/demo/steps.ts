/** Steps of the demo; each prints its progress to the terminal. */
import { ChangeAction, ObjectKind, ProposeKind } from "@sassafrascleat/config";
import type { DevDeployment, EntryProcess } from "@sassafrascleat/daemon";
import { BackendRole, HostState } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";
import { randomUUID } from "node:crypto";
import { callModel, type ModelRequest } from "../caller/model_caller.ts";
import { applyChange } from "../caller/operator_caller.ts";
import { callPlain } from "../caller/plain_caller.ts";
import type { DemoResults } from "./results.ts";

/** Number of model requests in the load step. */
const LOAD_REQUESTS = 60;

/** Number of requests in the load step after which an engine starts leaving. */
const LEAVE_AFTER_REQUESTS = 20;

/** Interval between requests in the load step, in milliseconds. */
const LOAD_INTERVAL_MS = 40;

const MODELS: Record<string, string> = {
  carolinas: "grievance-summarizer",
  tasmania: "design-assistant",
};

/** Context shared by all steps. */
export interface DemoContext {
  deployment: DevDeployment;
  results: DemoResults;
  print: (line: string) => void;
}

function getEntry(
  ctx: DemoContext,
  office: number,
  zone: number,
): EntryProcess {
  const entry = ctx.deployment.offices[office]?.entries[zone];
  invariant(entry !== undefined, "the demo deployment lacks an expected entry");
  return entry;
}

function modelRequest(
  ctx: DemoContext,
  office: number,
  zone: number,
  prompt: string,
): ModelRequest {
  const plan = ctx.deployment.offices[office]?.plan;
  return {
    address: getEntry(ctx, office, zone).entry.callersAddress,
    model: MODELS[plan?.office ?? ""] ?? "",
    prompt,
    maxTokens: 64,
    stream: true,
  };
}

/** Requests one streamed answer in each office. */
export async function streamAnswers(ctx: DemoContext): Promise<void> {
  for (const office of [0, 1]) {
    const req = modelRequest(ctx, office, 0, "Summarize the timeline. #len=12");
    const answer = await callModel(req);
    ctx.results.model(req, answer);
    const ttft = answer.ttftMs?.toFixed(0);
    ctx.print(`  ${req.model}: first token after ${ttft} ms: ${answer.text}`);
  }
}

/** Sends an order twice with the same idempotency key, through two entries. */
export async function orderTwice(ctx: DemoContext): Promise<void> {
  const call = {
    service: "order-desk",
    method: "POST" as const,
    path: "/orders",
    body: JSON.stringify({ order: "castle-kit", pallets: 3 }),
    idempotencyKey: randomUUID(),
  };
  const results = await Promise.all(
    [0, 1].map((zone) =>
      callPlain({
        ...call,
        address: getEntry(ctx, 1, zone).entry.callersAddress,
      })
    ),
  );
  const statuses = results.map((result) => result.status).join(" and ");
  ctx.print(
    `  both callers got ${statuses}, with the same answer: ${
      results[0]?.body === results[1]?.body
    }`,
  );
  for (const result of results) {
    if (result.status === 200) ctx.results.answered();
    else ctx.results.addProblem(`an order got status ${result.status}`);
  }
  if (results[0]?.body !== results[1]?.body) {
    ctx.results.addProblem(
      "the same idempotency key got two different answers",
    );
  }
}

/**
 * Applies two patches to the same base version; the second must be rejected.
 */
export async function patchPolicy(ctx: DemoContext): Promise<void> {
  const entry = getEntry(ctx, 0, 0);
  const name = "carolinas-policy";
  const baseVersion = entry.replica.get(ObjectKind.Policy, name)?.version ?? 0;
  const target = {
    address: entry.addresses.operators ?? "",
    secret: ctx.deployment.operatorSecret,
  };
  const patch = (maxQueueMs: number) =>
    applyChange(target, randomUUID(), {
      action: ChangeAction.Patch,
      kind: ObjectKind.Policy,
      name,
      baseVersion,
      operations: [{ op: "replace", path: "/maxQueueMs", value: maxQueueMs }],
    });
  const first = await patch(9_000);
  const second = await patch(8_000);
  ctx.print(
    `  first patch: ${first.kind}; second, on the same version: ${second.kind}`,
  );
  if (first.kind !== ProposeKind.Accepted) {
    ctx.results.addProblem("a patch was refused");
  }
  if (second.kind !== ProposeKind.Outdated) {
    ctx.results.addProblem("an outdated patch was not rejected");
  }
}

/** Marks one decode engine as leaving, at its sidecar and in the host list. */
async function startLeaving(
  ctx: DemoContext,
  officeIndex: number,
): Promise<void> {
  const office = ctx.deployment.offices[officeIndex];
  const leaving = office?.backends.find((backend) =>
    backend.backendServer.role === BackendRole.Decode
  );
  if (!office || !leaving) {
    return ctx.results.addProblem("the office has no decode engine");
  }
  await leaving.sidecar.control.drain({ leaving: true });
  office.hostList.set(office.backends.map(({ backendServer }) => ({
    ...backendServer,
    state: backendServer === leaving.backendServer
      ? HostState.Leaving
      : HostState.Live,
  })));
  ctx.print(`  ${leaving.backendServer.name} is leaving`);
}

/** Sends load to both offices; one engine starts leaving during it. */
export async function loadWhileLeaving(ctx: DemoContext): Promise<void> {
  const running: Promise<void>[] = [];
  for (let i = 0; i < LOAD_REQUESTS; i++) {
    const text = "line of the log ".repeat(50 + 40 * (i % 9));
    const req = modelRequest(ctx, i % 2, i % 3, `${i % 5} ${text}${i}`);
    running.push(
      callModel(req).then((answer) => ctx.results.model(req, answer)),
    );
    if (i === LEAVE_AFTER_REQUESTS) await startLeaving(ctx, 0);
    await new Promise((resolve) => setTimeout(resolve, LOAD_INTERVAL_MS));
  }
  await Promise.all(running);
  ctx.print(`  ${LOAD_REQUESTS} requests have ended`);
}
