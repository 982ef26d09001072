/** Snapshots, the archive, old patch ids, and daemons that resume after a pause. */
import { describe, expect, test } from "@jest/globals";
import {
  ABSENT,
  createMemoryStore,
  type ObjectStore,
  StoreStatus,
} from "@sassafrascleat/store";
import { createChangeLogWithSizes } from "../change_log.ts";
import {
  type ChangeLog,
  LogReadStatus,
  ProposeKind,
} from "../change_log_contract.ts";
import {
  changeKey,
  CHANGES_PREFIX,
  pieceKey,
  segmentPrefix,
} from "../log_keys.ts";
import { ObjectKind } from "../objects.ts";
import { createConfigReplica } from "../replica.ts";
import { createPolicy, neverAborts, patchPolicy } from "./fixtures.ts";

const SIZES = {
  snapshotIntervalChanges: 3,
  maxPieceBytes: 700,
  changesPerSegment: 4,
  minUnarchivedChanges: 3,
};

function open(store: ObjectStore) {
  const replica = createConfigReplica({
    maxRecentPatchIds: 6,
    maxRecentChanges: 6,
  });
  const options = { store, replica, office: "gastonia", compactionPauseMs: 0 };
  return { replica, log: createChangeLogWithSizes(options, SIZES) };
}

async function acceptPolicyChanges(log: ChangeLog, from: number, to: number) {
  for (let i = from; i <= to; i++) {
    const request = i === 1
      ? createPolicy("p1", "std")
      : patchPolicy(`p${i}`, "std", i - 1, (i % 16) + 1);
    const outcome = await log.propose(request, neverAborts);
    expect(outcome)
      .toEqual({ kind: ProposeKind.Accepted, sequence: i, version: i });
    await log.maintain(neverAborts);
  }
}

async function auditIds(log: ChangeLog): Promise<string[]> {
  const result = await log.history({ limit: 1_000 }, neverAborts);
  expect(result.status).toBe(LogReadStatus.Ok);
  return result.status === LogReadStatus.Ok
    ? result.changes.map((change) => change.patchId)
    : [];
}

function descendingIds(from: number): string[] {
  return Array.from({ length: from }, (_, i) => `p${from - i}`);
}

async function tailLength(store: ObjectStore): Promise<number> {
  const listed = await store.list({ prefix: CHANGES_PREFIX });
  return listed.status === StoreStatus.Ok ? listed.objects.length : -1;
}

/** Wraps a store and replaces its `put`. */
function withPut(inner: ObjectStore, put: ObjectStore["put"]): ObjectStore {
  return {
    put,
    get: (...args) => inner.get(...args),
    delete: (...args) => inner.delete(...args),
    list: (...args) => inner.list(...args),
    watch: (...args) => inner.watch(...args),
  };
}

/** Wraps a store and blocks writes of `key` until `release` is called. */
function pausedStore(inner: ObjectStore, key: string) {
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => release = resolve);
  let onReached: () => void = () => undefined;
  const reached = new Promise<void>((resolve) => onReached = resolve);
  const store = withPut(inner, async (target, ...args) => {
    if (target === key) {
      onReached();
      await released;
    }
    return inner.put(target, ...args);
  });
  return { store, reached, release };
}

describe("archive", () => {
  test("keeps every audit entry exactly once while the tail stays short", async () => {
    const store: ObjectStore = createMemoryStore();
    const { log } = open(store);
    await acceptPolicyChanges(log, 1, 40);
    expect(await tailLength(store)).toBeLessThan(20);
    expect(await auditIds(log)).toEqual(descendingIds(40));
  });

  test("filters and paginates the history", async () => {
    const { log } = open(createMemoryStore());
    await acceptPolicyChanges(log, 1, 20);
    await log.propose(createPolicy("other", "waste-first"), neverAborts);
    expect(await log.history({ name: "waste-first" }, neverAborts))
      .toMatchObject({ changes: [{ patchId: "other", sequence: 21 }] });
    const page = await log.history({ before: 9, limit: 3 }, neverAborts);
    expect(page).toMatchObject({
      changes: [{ patchId: "p8" }, { patchId: "p7" }, { patchId: "p6" }],
    });
    const none = await log.history(
      { since: "2100-01-01T00:00:00Z" },
      neverAborts,
    );
    expect(none).toMatchObject({ changes: [] });
  });

  test("an old patch id returns its first outcome", async () => {
    const store: ObjectStore = createMemoryStore();
    await acceptPolicyChanges(open(store).log, 1, 40);
    const restarted = open(store);
    for (const i of [2, 20, 39]) {
      const request = patchPolicy(`p${i}`, "std", i - 1, (i % 16) + 1);
      expect(await restarted.log.propose(request, neverAborts))
        .toEqual({ kind: ProposeKind.Accepted, sequence: i, version: i });
      const other = patchPolicy(`p${i}`, "std", i - 1, (i % 16) + 2);
      expect(await restarted.log.propose(other, neverAborts))
        .toMatchObject({ kind: ProposeKind.Invalid });
    }
  });

  test("a new daemon starts from a snapshot in pieces and the tail", async () => {
    const store: ObjectStore = createMemoryStore();
    const { log, replica } = open(store);
    for (let i = 1; i <= 30; i++) {
      await log.propose(createPolicy(`p${i}`, `policy-${i}`), neverAborts);
      await log.maintain(neverAborts);
    }
    const latest = await store.get("snapshots/latest");
    const whole = { object: { value: { snapshot: expect.anything() } } };
    expect(latest).not.toMatchObject(whole);
    const fresh = open(store);
    await fresh.log.catchUp(neverAborts);
    expect(fresh.replica.snapshot()).toEqual(replica.snapshot());
  });

  test("an interrupted compaction is finished by another daemon", async () => {
    const store: ObjectStore = createMemoryStore();
    const first = open(store);
    await acceptPolicyChanges(first.log, 1, 10);
    let refused = 0;
    const failingStore = withPut(store, (key, ...args) => {
      if (!key.startsWith("patches/")) return store.put(key, ...args);
      refused += 1;
      return Promise.resolve({ status: StoreStatus.Unknown, message: "lost" });
    });
    await acceptPolicyChanges(open(failingStore).log, 11, 20);
    expect(refused).toBeGreaterThan(0);
    await acceptPolicyChanges(first.log, 21, 30);
    expect(await auditIds(first.log)).toEqual(descendingIds(30));
    expect(await tailLength(store)).toBeLessThan(20);
  });
});

test("a leftover piece of another release does not corrupt a segment", async () => {
  const store: ObjectStore = createMemoryStore();
  const { log } = open(store);
  await acceptPolicyChanges(log, 1, 2);
  const listed = await store.list({ prefix: CHANGES_PREFIX });
  const unarchived = listed.status === StoreStatus.Ok ? listed.objects : [];
  const changes = unarchived.map((object) => object.value).slice(0, 1);
  await store.put(pieceKey(segmentPrefix(0), 0), { changes }, ABSENT);
  await acceptPolicyChanges(log, 3, 20);
  expect(await auditIds(log)).toEqual(descendingIds(20));
  expect(await tailLength(store)).toBeLessThan(20);
});

describe("a daemon that resumes after a pause", () => {
  test("does not get a proposal accepted under an archived sequence", async () => {
    const store: ObjectStore = createMemoryStore();
    const { log } = open(store);
    await acceptPolicyChanges(log, 1, 6);
    const paused = pausedStore(store, changeKey(7));
    const pausedDaemon = open(paused.store);
    const pending = pausedDaemon.log.propose(
      createPolicy("late", "late"),
      neverAborts,
    );
    await paused.reached;
    await acceptPolicyChanges(log, 7, 40);
    paused.release();
    expect(await pending)
      .toEqual({ kind: ProposeKind.Accepted, sequence: 41, version: 1 });
    expect(await auditIds(log)).toEqual(["late", ...descendingIds(40)]);
    expect(await store.get(changeKey(7))).toMatchObject({ object: undefined });
  });

  test("does not replay a change key below the archive head", async () => {
    const store: ObjectStore = createMemoryStore();
    const laggingDaemon = open(store);
    const { log, replica } = open(store);
    await acceptPolicyChanges(log, 1, 6);
    await laggingDaemon.log.catchUp(neverAborts);
    await acceptPolicyChanges(log, 7, 40);
    const stray = {
      ...createPolicy("stray", "stray"),
      sequence: 7,
      office: "hobart-a",
      time: "2026-01-01T00:00:00.000Z",
    };
    const written = await store.put(changeKey(7), stray, ABSENT);
    expect(written.status).toBe(StoreStatus.Ok);
    await laggingDaemon.log.catchUp(neverAborts);
    expect(laggingDaemon.replica.get(ObjectKind.Policy, "stray"))
      .toBeUndefined();
    expect(laggingDaemon.replica.snapshot().objects)
      .toEqual(replica.snapshot().objects);
  });
});
