/**
 * Existing connections to the store stop responding permanently, while new
 * connections work.
 */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  ABSENT,
  createHttpStore,
  type HttpStore,
  StoreStatus,
} from "@sassafrascleat/store";
import {
  createFaultProxy,
  createStoreServer,
  type FaultProxy,
  type StoreServer,
} from "@sassafrascleat/testing";
import { createChangeLog } from "../change_log.ts";
import { ProposeKind } from "../change_log_contract.ts";
import { createConfigReplica } from "../replica.ts";
import { createPolicy, neverAborts } from "./fixtures.ts";

let server: StoreServer;
let proxy: FaultProxy;
let store: HttpStore;

beforeEach(async () => {
  server = await createStoreServer();
  proxy = await createFaultProxy({ targetPort: server.port });
  const baseUrl = `http://127.0.0.1:${proxy.port}`;
  store = createHttpStore({ baseUrl, timeoutMs: 300, writeTimeoutMs: 300 });
});

afterEach(async () => {
  await proxy.close();
  await server.close();
  await store.close();
});

test("one timeout replaces every pooled connection", async () => {
  const readAll = () =>
    Promise.all(Array.from({ length: 4 }, () => store.get("k")));
  await readAll();
  proxy.blackholeOpenConnections();
  expect((await store.put("k", 1, ABSENT)).status).toBe(StoreStatus.Unknown);
  const again = await readAll();
  expect(again.map(({ status }) => status))
    .toEqual(Array(4).fill(StoreStatus.Ok));
});

test("a call aborted just before its timeout also replaces all connections", async () => {
  const readAll = () =>
    Promise.all(Array.from({ length: 4 }, () => store.get("k")));
  await readAll();
  proxy.blackholeOpenConnections();
  await store.get("k", AbortSignal.timeout(250));
  expect((await store.put("k", 1, ABSENT)).status).toBe(StoreStatus.Ok);
});

test("a proposal sent on unresponsive connections is accepted on new ones", async () => {
  const replica = createConfigReplica();
  const log = createChangeLog({ store, replica, office: "co-op" });
  await log.catchUp(neverAborts);
  proxy.blackholeOpenConnections();
  expect(await log.propose(createPolicy("p1", "std"), neverAborts))
    .toEqual({ kind: ProposeKind.Accepted, sequence: 1, version: 1 });
});

test("a follower reconnects after its watch stops responding", async () => {
  const replica = createConfigReplica();
  const follower = createChangeLog({
    store,
    replica,
    office: "co-op",
    watchTimeoutMs: 100,
    retryDelayMs: 10,
  });
  const controller = new AbortController();
  const inForce = (sequence: number) =>
    new Promise<void>((resolve) => {
      replica.onChange((now) => {
        if (now >= sequence) resolve();
      }, controller.signal);
    });
  const direct = createChangeLog({
    store: server.store,
    replica: createConfigReplica(),
    office: "turret",
  });
  const task = follower.follow(controller.signal);
  const first = inForce(1);
  await direct.propose(createPolicy("p1", "a"), neverAborts);
  await first;
  proxy.blackholeOpenConnections();
  const second = inForce(2);
  await direct.propose(createPolicy("p2", "b"), neverAborts);
  await second;
  controller.abort();
  await task;
});
