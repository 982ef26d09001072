/** Tests of the operator API with a change log in an in-memory store. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { createChangeLog, createConfigReplica } from "@sassafrascleat/config";
import { Secret } from "@sassafrascleat/runtime";
import { createMemoryStore } from "@sassafrascleat/store";
import Fastify, { type FastifyInstance } from "fastify";
import { createOperatorRoutes } from "../operator/index.ts";

const SECRETS = [new Secret("ann", "s-ann"), new Secret("bob", "s-bob")];

let server: FastifyInstance;
let base: string;

beforeEach(async () => {
  const replica = createConfigReplica();
  const changeLog = createChangeLog({
    store: createMemoryStore(),
    replica,
    office: "co-op",
  });
  server = Fastify({ forceCloseConnections: true });
  server.register(createOperatorRoutes({
    changeLog,
    replica,
    secrets: SECRETS,
    status: () => Promise.resolve({ sequence: replica.sequence }),
    drain: (name, leaving) =>
      Promise.resolve(name === "engine-1" ? { leaving } : undefined),
  }));
  base = await server.listen({ host: "127.0.0.1", port: 0 });
});

afterEach(() => server.close());

async function call(
  method: "GET" | "POST",
  url: string,
  payload?: object | string,
  secret = "s-ann",
) {
  const headers: Record<string, string> = {
    authorization: `Bearer ${secret}`,
  };
  if (payload !== undefined) headers["content-type"] = "application/json";
  const body = typeof payload === "object" ? JSON.stringify(payload) : payload;
  const res = await fetch(base + url, { method, body, headers });
  // deno-lint-ignore no-explicit-any
  return { status: res.status, body: await res.json() as any };
}

const create = {
  patchId: "p1",
  change: { kind: "policy", action: "create", object: { name: "std" } },
};

function patch(patchId: string, baseVersion: number, maxAttempts: number) {
  const operations = [
    { op: "replace", path: "/maxAttempts", value: maxAttempts },
  ];
  const change = {
    kind: "policy",
    action: "patch",
    name: "std",
    baseVersion,
    operations,
  };
  return { patchId, change };
}

describe("secrets", () => {
  test("each of two secrets is accepted and determines the author of a change", async () => {
    await call("POST", "/v1/apply", create, "s-ann");
    await call("POST", "/v1/apply", patch("p2", 1, 2), "s-bob");
    const { body } = await call("GET", "/v1/history?kind=policy&name=std");
    expect(body.changes.map((change: { author: string }) => change.author))
      .toEqual(["bob", "ann"]);
  });

  test.each(["/v1/status", "/v1/objects/pool", "/v1/history"])(
    "%s rejects a wrong secret and shows no secret in the response",
    async (url) => {
      const { status, body } = await call("GET", url, undefined, "s-eve");
      expect(status).toBe(401);
      expect(JSON.stringify(body)).not.toMatch(/s-eve|s-ann|s-bob/);
    },
  );
});

describe("apply", () => {
  test("distinguishes accepted, outdated and invalid changes", async () => {
    expect(await call("POST", "/v1/apply", create)).toEqual({
      status: 200,
      body: { kind: "accepted", sequence: 1, version: 1 },
    });
    expect((await call("POST", "/v1/apply", patch("p2", 1, 2))).status)
      .toBe(200);
    expect(await call("POST", "/v1/apply", patch("p3", 1, 3))).toMatchObject({
      status: 409,
      body: { kind: "outdated", currentVersion: 2 },
    });
    expect(await call("POST", "/v1/apply", patch("p4", 2, 0))).toMatchObject({
      status: 422,
      body: { kind: "invalid", issues: [{ path: "/maxAttempts", value: 0 }] },
    });
  });

  test("reports every error of a malformed request", async () => {
    const { status, body } = await call("POST", "/v1/apply", {
      change: { kind: "policy", action: "patch", name: "std" },
    });
    expect(status).toBe(400);
    expect(body.issues.map((issue: { path: string }) => issue.path)).toEqual([
      "/patchId",
      "/change/baseVersion",
      "/change/operations",
    ]);
    expect((await call("POST", "/v1/apply", "{")).status).toBe(400);
  });
});

test("objects are returned with their version", async () => {
  await call("POST", "/v1/apply", create);
  expect(await call("GET", "/v1/objects/policy/std")).toMatchObject({
    status: 200,
    body: { sequence: 1, version: 1, object: { name: "std", maxAttempts: 4 } },
  });
  expect((await call("GET", "/v1/objects/policy")).body.objects)
    .toHaveLength(1);
  expect((await call("GET", "/v1/objects/policy/none")).status).toBe(404);
  expect((await call("GET", "/v1/objects/shoe")).status).toBe(404);
});

test("validate checks a change against the current state without applying it", async () => {
  const change = {
    kind: "pool",
    action: "delete",
    name: "none",
    baseVersion: 1,
  };
  expect(await call("POST", "/v1/validate", { change })).toMatchObject({
    body: { valid: false, currentVersion: 0 },
  });
  expect(await call("POST", "/v1/validate", { change: create.change }))
    .toMatchObject({ body: { valid: true, issues: [] } });
  expect((await call("GET", "/v1/status")).body).toEqual({ sequence: 0 });
});

test("drain is passed to a known backend server and answered with 404 for an unknown one", async () => {
  const known = { name: "engine-1", leaving: true };
  expect((await call("POST", "/v1/drain", known)).body)
    .toEqual({ leaving: true });
  const unknown = { name: "engine-9", leaving: true };
  expect((await call("POST", "/v1/drain", unknown)).status).toBe(404);
});
