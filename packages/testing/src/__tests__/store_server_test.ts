/** Tests the HTTP store client against the simulated store and its faults. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { getEventListeners, once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import {
  ABSENT,
  createHttpStore,
  type HttpStore,
  MAX_VALUE_BYTES,
  putWithReadBack,
  StoreStatus,
} from "@sassafrascleat/store";
import { createStoreServer, StoreMode, type StoreServer } from "../index.ts";

let server: StoreServer;
let store: HttpStore;

beforeEach(async () => {
  server = await createStoreServer();
  store = createHttpStore({
    baseUrl: server.url,
    timeoutMs: 300,
    writeTimeoutMs: 300,
  });
});

afterEach(async () => {
  await server.close();
  await store.close();
});

async function post(path: string, body: unknown): Promise<void> {
  const res = await fetch(server.url + path, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  expect(res.status).toBe(200);
  await res.text();
}

describe("object API", () => {
  test("writes, reads, lists and deletes with versions", async () => {
    const created = await store.put("a/1 %/x", { n: 1 }, ABSENT);
    expect(created.status).toBe(StoreStatus.Ok);
    const version = created.status === StoreStatus.Ok ? created.version : 0;
    expect(await store.put("a/1 %/x", { n: 2 }, ABSENT)).toEqual({
      status: StoreStatus.Conflict,
      current: { key: "a/1 %/x", version, value: { n: 1 } },
    });
    expect(await store.list({ prefix: "a/" })).toMatchObject({
      objects: [{ key: "a/1 %/x", value: { n: 1 } }],
    });
    expect((await store.delete("a/1 %/x", version)).status)
      .toBe(StoreStatus.Ok);
    expect(await store.get("a/1 %/x"))
      .toEqual({ status: StoreStatus.Ok, object: undefined });
  });

  test("rejects a value over the size limit", async () => {
    const result = await store.put("big", "x".repeat(MAX_VALUE_BYTES), ABSENT);
    expect(result.status).toBe(StoreStatus.TooLarge);
  });

  test("a watch waits for its write and counts as one read", async () => {
    const watching = store.watch({
      prefix: "w/",
      afterRevision: 0,
      waitMs: 5_000,
    });
    while (server.counts().byCall.watch === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await store.put("other", 1, ABSENT);
    await store.put("w/1", 1, ABSENT);
    expect(await watching).toMatchObject({
      status: StoreStatus.Ok,
      events: [{ key: "w/1", object: { value: 1 } }],
    });
    expect(server.counts()).toMatchObject({ reads: 1, writes: 2 });
  });
});

test("a call removes its listener from the caller's signal", async () => {
  const { signal } = new AbortController();
  await store.get("k", signal);
  await store.put("k", 1, ABSENT, signal);
  expect(getEventListeners(signal, "abort")).toHaveLength(0);
});

describe("faults", () => {
  test("a refused write is reported as unavailable", async () => {
    server.setFaults({ mode: StoreMode.Refuse });
    expect((await store.put("k", 1, ABSENT)).status)
      .toBe(StoreStatus.Unavailable);
    server.setFaults({ mode: StoreMode.Serve });
    expect((await store.put("k", 1, ABSENT)).status).toBe(StoreStatus.Ok);
  });

  test("a write that a gateway answers with 503 is unknown", async () => {
    // The gateway may have forwarded the write before it failed. The store
    // marks its refusals with `refused`, which proves that nothing was written.
    const gatewayServer = createServer((_, res) => {
      res.writeHead(503, { "content-type": "application/json" });
      res.end('{"message":"upstream reset before headers"}');
    });
    gatewayServer.listen(0, "127.0.0.1");
    await once(gatewayServer, "listening");
    const { port } = gatewayServer.address() as AddressInfo;
    const gatewayStore = createHttpStore({
      baseUrl: `http://127.0.0.1:${port}`,
    });
    const result = await gatewayStore.put("k", 1, ABSENT);
    await gatewayStore.close();
    gatewayServer.close();
    expect(result.status).toBe(StoreStatus.Unknown);
  });

  test("a closed port is unavailable, no response is unknown", async () => {
    await post("/_faults", { mode: StoreMode.Reset });
    expect((await store.put("k", 1, ABSENT)).status).toBe(StoreStatus.Unknown);
    await post("/_faults", { mode: StoreMode.Hang });
    expect((await store.put("k", 1, ABSENT)).status).toBe(StoreStatus.Unknown);
    await post("/_faults", { mode: StoreMode.Serve });
    expect(await store.get("k"))
      .toEqual({ status: StoreStatus.Ok, object: undefined });
    await server.close();
    expect((await store.put("k", 1, ABSENT)).status)
      .toBe(StoreStatus.Unavailable);
  });

  test.each(["loseAnswers", "hangAnswers", "dropWrites"])(
    "putWithReadBack resolves the outcome of a write under %s",
    async (fault) => {
      server.setFaults({ [fault]: 1 });
      const options = {
        isOwnWrite: (object: { value: unknown }) => object.value === "mine",
      };
      const result = await putWithReadBack(store, "k", "mine", ABSENT, options);
      expect(result).toEqual({ status: StoreStatus.Ok, version: 1 });
    },
  );

  test("putWithReadBack detects another writer's value", async () => {
    server.setFaults({ loseAnswers: 1 });
    await store.put("k", "theirs", ABSENT);
    server.setFaults({ dropWrites: 1 });
    const options = {
      isOwnWrite: (object: { value: unknown }) => object.value === "mine",
    };
    const result = await putWithReadBack(store, "k", "mine", ABSENT, options);
    expect(result).toMatchObject({
      status: StoreStatus.Conflict,
      current: { value: "theirs" },
    });
  });

  test("putWithReadBack is unknown while connections are closed", async () => {
    server.setFaults({ mode: StoreMode.Reset });
    const options = { isOwnWrite: () => false, attempts: 2, backoffMs: 1 };
    expect((await putWithReadBack(store, "k", 1, ABSENT, options)).status)
      .toBe(StoreStatus.Unknown);
  });
});

test("changes to the list of hosts are visible after the delay", async () => {
  const host: BackendServer = {
    name: "engine-1",
    office: "co-op",
    availabilityZone: "gastonia",
    pool: "decode",
    role: BackendRole.Decode,
    sidecarAddress: "http://127.0.0.1:1",
    engineAddress: "http://127.0.0.1:2",
    state: HostState.Live,
  };
  const read = async () => (await (await fetch(`${server.url}/hosts`)).json());
  await post("/_hosts", { hosts: [host] });
  await post("/_hosts", { hosts: [], lagMs: 3_600_000 });
  expect(await read()).toEqual({ hosts: [host] });
  server.setHosts([]);
  expect(await read()).toEqual({ hosts: [] });
});
