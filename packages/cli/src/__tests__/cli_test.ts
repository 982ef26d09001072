/** Runs the built program as a child process against the operator API. */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { createChangeLog, createConfigReplica } from "@sassafrascleat/config";
import { createOperatorRoutes } from "@sassafrascleat/entry";
import { Secret } from "@sassafrascleat/runtime";
import { createHttpStore, type HttpStore } from "@sassafrascleat/store";
import {
  createStoreServer,
  StoreMode,
  type StoreServer,
} from "@sassafrascleat/testing";
import Fastify, { type FastifyInstance } from "fastify";
import { spawn } from "node:child_process";
import { createServer, type Server } from "node:net";
import { text } from "node:stream/consumers";
import { ExitCode } from "../exit_code.ts";

const PROGRAM = new URL("../../dist/main.js", import.meta.url).pathname;
const SECRET = "s-ann";

let storeServer: StoreServer;
let store: HttpStore;
let entry: FastifyInstance;
let endpoint: string;

beforeAll(async () => {
  storeServer = await createStoreServer();
  store = createHttpStore({ baseUrl: storeServer.url, timeoutMs: 300 });
  const replica = createConfigReplica();
  entry = Fastify({ forceCloseConnections: true });
  entry.register(createOperatorRoutes({
    changeLog: createChangeLog({ store, replica, office: "co-op" }),
    replica,
    secrets: [new Secret("ann", SECRET)],
    status: () => Promise.resolve(statusOf(replica.sequence)),
    drain: (name, leaving) =>
      Promise.resolve(name === "engine-1" ? { leaving } : undefined),
  }));
  endpoint = await entry.listen({ host: "127.0.0.1", port: 0 });
});

afterAll(async () => {
  await entry.close();
  await store.close();
  await storeServer.close();
});

/** A status with nested lists, as daemons return it. */
function statusOf(sequence: number) {
  const zones = [{ zone: "a", lagging: 0 }, { zone: "b", lagging: 1 }];
  return {
    daemon: { id: "entry-1" },
    sequence,
    offices: [{ name: "co-op", zones }],
  };
}

interface Run {
  code: number;
  stdout: string;
  stderr: string;
}

/** Runs the program with `input` as its standard input. */
async function run(
  args: string[],
  input: unknown = "",
  env: Record<string, string> = {},
): Promise<Run> {
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    env: {
      SASSAFRASCLEAT_ENDPOINT: endpoint,
      SASSAFRASCLEAT_SECRET: SECRET,
      ...env,
    },
  });
  child.stdin.end(typeof input === "string" ? input : JSON.stringify(input));
  const exited = new Promise<number>((resolve) =>
    child.on("close", (code) => resolve(code ?? -1))
  );
  const [code, stdout, stderr] = await Promise.all([
    exited,
    text(child.stdout),
    text(child.stderr),
  ]);
  return { code, stdout, stderr };
}

function createPolicy(name: string, fields: object = {}) {
  return { kind: "policy", action: "create", object: { name, ...fields } };
}

function patchPolicy(name: string, baseVersion: number, value: number) {
  const operations = [{ op: "replace", path: "/maxAttempts", value }];
  return { kind: "policy", action: "patch", name, baseVersion, operations };
}

describe("apply", () => {
  test("exit codes by outcome; a repeated patch id returns the same reply", async () => {
    const made = await run(["apply", "-", "-o", "json"], createPolicy("std"));
    expect(made.code).toBe(ExitCode.Ok);
    const { patchId, outcome } = JSON.parse(made.stdout);
    expect(outcome).toEqual({ kind: "accepted", sequence: 1, version: 1 });
    expect(made.stderr).toContain(`patch id: ${patchId}`);
    const again = await run(
      ["apply", "-", "-o", "json", "--patch-id", patchId],
      createPolicy("std"),
    );
    expect(JSON.parse(again.stdout)).toEqual(JSON.parse(made.stdout));
    expect((await run(["apply", "-"], patchPolicy("std", 1, 2))).code)
      .toBe(ExitCode.Ok);
    const late = await run(["apply", "-"], patchPolicy("std", 1, 3));
    expect(late.code).toBe(ExitCode.Outdated);
    expect(late.stderr).toContain("is at version 2");
    const bad = await run(["apply", "-"], patchPolicy("std", 2, 0));
    expect(bad.code).toBe(ExitCode.Invalid);
    expect(bad.stderr).toContain("/maxAttempts: 0; expected");
  });

  test("stops a list at the first change that is not accepted", async () => {
    const list = [
      createPolicy("list-1"),
      patchPolicy("list-1", 7, 1),
      createPolicy("list-3"),
    ];
    const result = await run(["apply", "-", "-o", "json"], list);
    expect(result.code).toBe(ExitCode.Outdated);
    const kinds = JSON.parse(result.stdout)
      .map((item: { outcome: { kind: string } }) => item.outcome.kind);
    expect(kinds).toEqual(["accepted", "outdated"]);
    expect((await run(["get", "policy", "list-3"])).code)
      .toBe(ExitCode.NotFound);
  });

  test("distinguishes a change that was not run from an unknown outcome", async () => {
    storeServer.setFaults({ mode: StoreMode.Refuse });
    const change = createPolicy("outage");
    expect((await run(["apply", "-"], change)).code).toBe(ExitCode.NotRun);
    const repeated = ["apply", "-", "--patch-id", "asked-before"];
    expect((await run(repeated, change)).code).toBe(ExitCode.Unknown);
    storeServer.setFaults({ mode: StoreMode.Serve });
    expect((await run(repeated, change)).code).toBe(ExitCode.Ok);
  });

  test("unknown if the connection closes after sending, not run if refused", async () => {
    const server: Server = createServer((socket) =>
      socket.once("data", () => socket.destroy())
    );
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const address = server.address();
    const port = address && typeof address === "object" ? address.port : 0;
    const env = { SASSAFRASCLEAT_ENDPOINT: `http://127.0.0.1:${port}` };
    const change = createPolicy("cut");
    const cut = await run(["apply", "-"], change, env);
    expect(cut.code).toBe(ExitCode.Unknown);
    await new Promise((resolve) => server.close(resolve));
    const closed = await run(["apply", "-"], change, env);
    expect(closed.code).toBe(ExitCode.NotRun);
  });

  test("an invalid file is a usage error that lists every issue", async () => {
    const result = await run(["apply", "-"], { kind: "policy" });
    expect(result.code).toBe(ExitCode.Usage);
    const patch = await run(["apply", "-"], {
      kind: "policy",
      action: "patch",
      name: "std",
    });
    expect(patch.stderr).toContain("/baseVersion");
    expect(patch.stderr).toContain("/operations");
    expect((await run(["apply", "/nowhere.json"])).code).toBe(ExitCode.Usage);
  });
});

describe("reads", () => {
  test("show objects, the audit trail and the status", async () => {
    await run(["apply", "-"], createPolicy("shown"));
    const listed = await run(["list", "policy", "-o", "json"]);
    expect(JSON.parse(listed.stdout).objects).toContainEqual(
      expect.objectContaining({ version: 1 }),
    );
    const got = await run(["get", "policy", "shown"]);
    expect(got.stdout).toMatch(/^FIELD +VALUE\nversion +1\nname +shown\n/);
    const history = await run(["history", "--name", "shown", "-o", "json"]);
    expect(JSON.parse(history.stdout).changes)
      .toMatchObject([{ author: "ann", office: "co-op", version: 1 }]);
    const status = (await run(["status"])).stdout;
    expect(status).toMatch(/daemon\.id +entry-1\nsequence +\d+\n\noffices:\n/);
    expect(status).toMatch(/NAME +ZONE +LAGGING\nco-op +a +0\nco-op +b +1\n/);
  });

  test("drain changes a known backend server and reports an unknown one", async () => {
    expect((await run(["drain", "engine-1"])).stdout).toMatch(/leaving +true/);
    expect((await run(["drain", "engine-1", "--undo"])).stdout)
      .toMatch(/leaving +false/);
    expect((await run(["drain", "engine-9"])).code).toBe(ExitCode.NotFound);
  });
});

describe("validate", () => {
  test("checks an object without a daemon", async () => {
    const env = { SASSAFRASCLEAT_ENDPOINT: "", SASSAFRASCLEAT_SECRET: "" };
    const good = await run(["validate", "-"], createPolicy("a"), env);
    expect(good.code).toBe(ExitCode.Ok);
    const wrong = createPolicy("a", { maxAttempts: 99, ttftTargetMs: -1 });
    const bad = await run(["validate", "-"], wrong, env);
    expect(bad.code).toBe(ExitCode.Invalid);
    expect(bad.stderr).toContain("/maxAttempts: 99");
    expect(bad.stderr).toContain("/ttftTargetMs: -1");
  });

  test("checks versions and references at a daemon", async () => {
    const change = {
      kind: "service",
      action: "create",
      object: {
        kind: "plain",
        name: "punch",
        office: "co-op",
        pool: "none",
        policy: "none",
      },
    };
    expect((await run(["validate", "-"], change)).code).toBe(ExitCode.Ok);
    const remote = await run(["validate", "-", "--remote"], change);
    expect(remote.code).toBe(ExitCode.Invalid);
    expect(remote.stderr).toContain("/pool");
  });
});

describe("secrets and arguments", () => {
  test("a wrong secret is refused and never shown", async () => {
    const env = { SASSAFRASCLEAT_SECRET: "s-eve" };
    const result = await run(["status"], "", env);
    expect(result.code).toBe(ExitCode.NotAuthorized);
    expect(result.stdout + result.stderr).not.toContain("s-eve");
  });

  test("--secret-env names another variable for the secret", async () => {
    const env = { SASSAFRASCLEAT_SECRET: "", OTHER: SECRET };
    const result = await run(["status", "--secret-env", "OTHER"], "", env);
    expect(result.code).toBe(ExitCode.Ok);
    expect((await run(["status"], "", env)).code).toBe(ExitCode.Usage);
  });

  test("a wrong kind or endpoint is a usage error", async () => {
    expect((await run(["list", "shoe"])).code).toBe(ExitCode.Usage);
    const env = { SASSAFRASCLEAT_ENDPOINT: "ftp://x" };
    const result = await run(["status"], "", env);
    expect(result.code).toBe(ExitCode.Usage);
    expect(result.stderr).toContain("--endpoint");
  });
});
