/** Proposals, replay and the audit trail with an in-memory store. */
import { describe, expect, test } from "@jest/globals";
import { getEventListeners } from "node:events";
import { createMemoryStore, type ObjectStore } from "@sassafrascleat/store";
import { createChangeLog } from "../change_log.ts";
import { LogReadStatus, ProposeKind } from "../change_log_contract.ts";
import { ObjectKind } from "../objects.ts";
import { createConfigReplica } from "../replica.ts";
import {
  createObject,
  createPolicy,
  deleteObject,
  neverAborts,
  patchObject,
  patchPolicy,
} from "./fixtures.ts";

function open(store: ObjectStore, office = "gastonia") {
  const replica = createConfigReplica();
  const log = createChangeLog({
    store,
    replica,
    office,
    watchTimeoutMs: 200,
    retryDelayMs: 10,
    compactionPauseMs: 0,
  });
  return { replica, log };
}

describe("propose", () => {
  test("increments versions and rejects a patch of an outdated version", async () => {
    const { log, replica } = open(createMemoryStore());
    expect(await log.propose(createPolicy("p1", "std"), neverAborts))
      .toEqual({ kind: ProposeKind.Accepted, sequence: 1, version: 1 });
    expect(await log.propose(patchPolicy("p2", "std", 1, 3), neverAborts))
      .toEqual({ kind: ProposeKind.Accepted, sequence: 2, version: 2 });
    const late = await log.propose(patchPolicy("p3", "std", 1, 9), neverAborts);
    expect(late).toMatchObject({
      kind: ProposeKind.Outdated,
      currentVersion: 2,
      changesSince: [{ patchId: "p2", sequence: 2 }],
    });
    expect(replica.get(ObjectKind.Policy, "std")?.object.maxAttempts).toBe(3);
  });

  test("reports all schema errors with path, value and expected value", async () => {
    const { log } = open(createMemoryStore());
    const bad = { maxAttempts: 0, ttftTargetMs: "soon", colour: 1 };
    const outcome = await log.propose(
      createPolicy("p1", "std", bad),
      neverAborts,
    );
    expect(outcome.kind).toBe(ProposeKind.Invalid);
    const issues = outcome.kind === ProposeKind.Invalid ? outcome.issues : [];
    const seen = issues.map(({ path, value }) => [path, value]);
    expect(seen).toHaveLength(3);
    expect(seen).toEqual(expect.arrayContaining([
      ["/maxAttempts", 0],
      ["/ttftTargetMs", "soon"],
      ["/colour", 1],
    ]));
    for (const issue of issues) expect(issue.expected).not.toBe("");
  });

  test("rejects an invalid patch id, which would break the replay", async () => {
    const { log } = open(createMemoryStore());
    const outcome = await log.propose(createPolicy("", "std"), neverAborts);
    expect(outcome).toMatchObject({
      kind: ProposeKind.Invalid,
      issues: [{ path: "/patchId" }],
    });
    expect((await log.propose(createPolicy("p", "std"), neverAborts)).kind)
      .toBe(ProposeKind.Accepted);
  });

  test("a retry of a patch id returns its first outcome", async () => {
    const store = createMemoryStore();
    const first = await open(store).log.propose(
      createPolicy("p1", "std"),
      neverAborts,
    );
    const second = open(store, "hobart-a");
    expect(await second.log.propose(createPolicy("p1", "std"), neverAborts))
      .toEqual(first);
    const history = await second.log.history({}, neverAborts);
    expect(history).toMatchObject({
      status: LogReadStatus.Ok,
      changes: [{ office: "gastonia", patchId: "p1" }],
    });
  });

  test("a patch id reused for a different change is rejected", async () => {
    const store = createMemoryStore();
    const { log } = open(store);
    await log.propose(createPolicy("p1", "std"), neverAborts);
    const other = open(store, "hobart-a");
    const outcome = await other.log.propose(
      createPolicy("p1", "another"),
      neverAborts,
    );
    expect(outcome).toMatchObject({
      kind: ProposeKind.Invalid,
      issues: [{ path: "/patchId", value: "p1" }],
    });
    expect(other.replica.get(ObjectKind.Policy, "another")).toBeUndefined();
  });

  test("the versions of a re-created object continue after its deletion", async () => {
    const { log, replica } = open(createMemoryStore());
    await log.propose(createPolicy("p1", "std"), neverAborts);
    await log.propose(
      deleteObject("p2", ObjectKind.Policy, "std", 1),
      neverAborts,
    );
    expect(replica.get(ObjectKind.Policy, "std")).toBeUndefined();
    expect(await log.propose(createPolicy("p3", "std"), neverAborts))
      .toMatchObject({ version: 3 });
  });
});

describe("concurrent proposals", () => {
  test("each get a unique sequence across daemons", async () => {
    const store = createMemoryStore();
    const daemons = [open(store), open(store, "hobart-a"), open(store)];
    const pending = Array.from(
      { length: 30 },
      (_, i) =>
        daemons[i % 3]!.log.propose(
          createPolicy(`p${i}`, `n${i}`),
          neverAborts,
        ),
    );
    const outcomes = await Promise.all(pending);
    const sequences = outcomes.map((outcome) =>
      outcome.kind === ProposeKind.Accepted ? outcome.sequence : 0
    );
    expect(sequences.sort((a, b) => a - b))
      .toEqual(Array.from({ length: 30 }, (_, i) => i + 1));
  });

  test("leave no listeners on a long-lived abort signal", async () => {
    const { log } = open(createMemoryStore());
    const { signal } = new AbortController();
    for (let i = 0; i < 3; i++) {
      await log.propose(createPolicy(`p${i}`, `n${i}`), signal);
    }
    expect(getEventListeners(signal, "abort")).toHaveLength(0);
  });

  test("a proposal aborted while queued is not executed", async () => {
    const store = createMemoryStore();
    const { log, replica } = open(store);
    const controller = new AbortController();
    const first = log.propose(createPolicy("p1", "a"), neverAborts);
    const second = log.propose(createPolicy("p2", "b"), controller.signal);
    const third = log.propose(createPolicy("p3", "c"), neverAborts);
    controller.abort();
    expect((await second).kind).toBe(ProposeKind.NotRun);
    expect(await first).toMatchObject({ sequence: 1 });
    expect(await third).toMatchObject({ sequence: 2 });
    expect(replica.get(ObjectKind.Policy, "b")).toBeUndefined();
  });
});

describe("references", () => {
  const pool = (name: string, role: string, office = "co-op") => ({
    name,
    role,
    office,
  });
  const service = {
    kind: "plain",
    name: "punch",
    office: "co-op",
    pool: "whistle",
    policy: "std",
  };

  async function prepared() {
    const { log } = open(createMemoryStore());
    const all = [
      createPolicy("a", "std"),
      createObject("b", ObjectKind.Pool, pool("whistle", "plain")),
      createObject("c", ObjectKind.Service, service),
    ];
    for (const request of all) {
      const { kind } = await log.propose(request, neverAborts);
      expect(kind).toBe(ProposeKind.Accepted);
    }
    return log;
  }

  test("a service must refer to an existing policy and a pool of its office and role", async () => {
    const { log } = open(createMemoryStore());
    await log.propose(
      createObject("a", ObjectKind.Pool, pool("whistle", "plain", "turret")),
      neverAborts,
    );
    const outcome = await log.propose(
      createObject("b", ObjectKind.Service, service),
      neverAborts,
    );
    expect(outcome).toMatchObject({
      kind: ProposeKind.Invalid,
      issues: [{ path: "/pool" }, { path: "/policy" }],
    });
  });

  test("a pool or policy in use can't be deleted", async () => {
    const log = await prepared();
    for (
      const [kind, name] of [[ObjectKind.Pool, "whistle"], [
        ObjectKind.Policy,
        "std",
      ]] as const
    ) {
      const request = deleteObject(`del-${name}`, kind, name, 1);
      expect((await log.propose(request, neverAborts)).kind)
        .toBe(ProposeKind.Invalid);
    }
  });

  test("the role and office of a pool in use can't change", async () => {
    const log = await prepared();
    const request = patchObject("d", ObjectKind.Pool, "whistle", 1, [
      { op: "replace", path: "/role", value: "decode" },
      { op: "replace", path: "/office", value: "turret" },
    ]);
    expect(await log.propose(request, neverAborts)).toMatchObject({
      kind: ProposeKind.Invalid,
      issues: [{ path: "/role" }, { path: "/office" }],
    });
  });
});

describe("follow", () => {
  test("applies the changes of another office", async () => {
    const store = createMemoryStore();
    const writer = open(store);
    const follower = open(store, "hobart-a");
    const controller = new AbortController();
    const inForce = new Promise<void>((resolve) =>
      follower.replica.onChange((sequence) => {
        if (sequence === 3) resolve();
      }, controller.signal)
    );
    const task = follower.log.follow(controller.signal);
    await writer.log.propose(createPolicy("p1", "std"), neverAborts);
    await writer.log.propose(patchPolicy("p2", "std", 1, 2), neverAborts);
    await writer.log.propose(patchPolicy("p3", "std", 2, 3), neverAborts);
    await inForce;
    expect(follower.replica.snapshot()).toEqual(writer.replica.snapshot());
    controller.abort();
    await task;
  });
});
