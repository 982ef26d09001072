/** The demo's steps, each of which a person can follow on the terminal. */
import { ChangeAction, ObjectKind, ProposeKind } from "@sassafrascleat/config";
import type { DevDeployment, EntryProcess } from "@sassafrascleat/daemon";
import { BackendRole, HostState } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";
import { randomUUID } from "node:crypto";
import { callModel, type ModelRequest } from "../caller/model_caller.ts";
import { applyChange } from "../caller/operator_caller.ts";
import { callPlain } from "../caller/plain_caller.ts";
import type { Ledger } from "./ledger.ts";

/** Model requests of the load step. */
const LOAD_REQUESTS = 60;

/** Requests of the load step after which an engine leaves. */
const LEAVE_AFTER = 20;

/** Time between two requests of the load step, in milliseconds. */
const LOAD_INTERVAL_MS = 40;

const MODELS: Record<string, string> = {
  carolinas: "grievance-summarizer",
  tasmania: "design-assistant",
};

/** What every step works on. */
export interface DemoContext {
  deployment: DevDeployment;
  ledger: Ledger;
  say: (line: string) => void;
}

function entryAt(ctx: DemoContext, office: number, zone: number): EntryProcess {
  const entry = ctx.deployment.offices[office]?.entries[zone];
  invariant(entry !== undefined, "the demo's topology has changed");
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
    address: entryAt(ctx, office, zone).entry.callersAddress,
    model: MODELS[plan?.office ?? ""] ?? "",
    prompt,
    maxTokens: 64,
    stream: true,
  };
}

/** One streamed answer in each office. */
export async function streamAnswers(ctx: DemoContext): Promise<void> {
  for (const office of [0, 1]) {
    const req = modelRequest(ctx, office, 0, "Summarize the timeline. #len=12");
    const answer = await callModel(req);
    ctx.ledger.model(req, answer);
    const ttft = answer.ttftMs?.toFixed(0);
    ctx.say(`  ${req.model}: first token after ${ttft} ms: ${answer.text}`);
  }
}

/** An order sent twice with one idempotency key, by way of two entries. */
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
        address: entryAt(ctx, 1, zone).entry.callersAddress,
      })
    ),
  );
  const statuses = results.map((result) => result.status).join(" and ");
  ctx.say(
    `  both callers got ${statuses}, with the same answer: ${
      results[0]?.body === results[1]?.body
    }`,
  );
  for (const result of results) {
    if (result.status === 200) ctx.ledger.answered();
    else ctx.ledger.problem(`an order got status ${result.status}`);
  }
  if (results[0]?.body !== results[1]?.body) {
    ctx.ledger.problem("the same key got two answers");
  }
}

/** A patch against the version in force, then the same patch once more. */
export async function patchPolicy(ctx: DemoContext): Promise<void> {
  const entry = entryAt(ctx, 0, 0);
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
  ctx.say(
    `  first patch: ${first.kind}; second, on the same version: ${second.kind}`,
  );
  if (first.kind !== ProposeKind.Accepted) {
    ctx.ledger.problem("a patch was refused");
  }
  if (second.kind !== ProposeKind.Outdated) {
    ctx.ledger.problem("an outdated patch was not rejected");
  }
}

/** Tells one decode sidecar and the host list that its engine leaves. */
async function leave(ctx: DemoContext, officeIndex: number): Promise<void> {
  const office = ctx.deployment.offices[officeIndex];
  const leaving = office?.backends.find((backend) =>
    backend.listed.role === BackendRole.Decode
  );
  if (!office || !leaving) {
    return ctx.ledger.problem("no decode engine to leave");
  }
  await leaving.sidecar.control.drain({ leaving: true });
  office.hostList.set(office.backends.map(({ listed }) => ({
    ...listed,
    state: listed === leaving.listed ? HostState.Leaving : HostState.Live,
  })));
  ctx.say(`  ${leaving.listed.name} is leaving`);
}

/** A load on both offices during which an engine leaves. */
export async function loadWhileLeaving(ctx: DemoContext): Promise<void> {
  const running: Promise<void>[] = [];
  for (let i = 0; i < LOAD_REQUESTS; i++) {
    const text = "line of the log ".repeat(50 + 40 * (i % 9));
    const req = modelRequest(ctx, i % 2, i % 3, `${i % 5} ${text}${i}`);
    running.push(
      callModel(req).then((answer) => ctx.ledger.model(req, answer)),
    );
    if (i === LEAVE_AFTER) await leave(ctx, 0);
    await new Promise((resolve) => setTimeout(resolve, LOAD_INTERVAL_MS));
  }
  await Promise.all(running);
  ctx.say(`  ${LOAD_REQUESTS} requests are over`);
}
