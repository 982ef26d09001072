/** Tests of the in-memory store, partly against a model, and of `putWithReadBack`. */
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  ABSENT,
  createMemoryStore,
  putWithReadBack,
  type StoredObject,
  StoreStatus,
} from "../index.ts";

const key = fc.constantFrom("a/1", "a/2", "a/10", "b/1");

/** One operation: a put if there is a value, otherwise a deletion. */
const operation = fc.record({
  key,
  value: fc.option(fc.integer(), { nil: undefined }),
  /** Whether the operation expects the current version. */
  current: fc.boolean(),
});

describe("memory store", () => {
  test("behaves like a map with versions", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(operation, { maxLength: 40 }),
        async (operations) => {
          const store = createMemoryStore();
          const model = new Map<string, StoredObject>();
          let highestVersion = 0;
          for (const { key, value, current } of operations) {
            const version = model.get(key)?.version ?? ABSENT;
            const expectedVersion = current ? version : version + 1;
            const result = value === undefined
              ? await store.delete(key, expectedVersion)
              : await store.put(key, value, expectedVersion);
            if (!current) {
              expect(result.status).toBe(StoreStatus.Conflict);
              continue;
            }
            expect(result.status).toBe(StoreStatus.Ok);
            if (value === undefined) model.delete(key);
            else if (result.status === StoreStatus.Ok) {
              expect(result.version).toBeGreaterThan(highestVersion);
              highestVersion = result.version;
              model.set(key, { key, version: result.version, value });
            }
          }
          const expected = [...model.values()]
            .filter((object) => object.key.startsWith("a/"))
            .sort((x, y) => x.key < y.key ? -1 : 1);
          const listed = await store.list({ prefix: "a/" });
          expect(listed).toMatchObject({ objects: expected });
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  test("lists one page of keys with a prefix", async () => {
    const store = createMemoryStore();
    for (const name of ["a", "p/1", "p/2", "p/3", "q"]) {
      await store.put(name, name, ABSENT);
    }
    const page = await store.list({ prefix: "p/", after: "p/1", limit: 1 });
    expect(page).toMatchObject({ objects: [{ key: "p/2" }] });
  });

  test("a watch returns the latest state of each key, deletions too", async () => {
    const store = createMemoryStore();
    const first = await store.put("w/1", 1, ABSENT);
    const version = first.status === StoreStatus.Ok ? first.version : 0;
    await store.put("w/1", 2, version);
    await store.put("w/2", 1, ABSENT);
    await store.delete("w/1", version + 1);
    const watch = { prefix: "w/", afterRevision: 0, waitMs: 0 };
    expect(await store.watch(watch)).toMatchObject({
      events: [
        { key: "w/2", object: { value: 1 } },
        { key: "w/1", object: undefined },
      ],
      revision: 4,
    });
  });

  test("a watch ends when its signal is aborted", async () => {
    const store = createMemoryStore();
    const controller = new AbortController();
    const watch = { prefix: "w/", afterRevision: 0, waitMs: 60_000 };
    const watching = store.watch(watch, controller.signal);
    controller.abort();
    expect((await watching).status).toBe(StoreStatus.Unknown);
  });
});

test("putWithReadBack recognizes its first write when it arrives late", async () => {
  const backingStore = createMemoryStore();
  let delayedPut: (() => Promise<unknown>) | undefined;
  const store = Object.assign(Object.create(backingStore), {
    get: backingStore.get.bind(backingStore),
    put: async (key: string, value: unknown, version: number) => {
      if (delayedPut) {
        await delayedPut();
        return backingStore.put(key, value, version);
      }
      delayedPut = () => backingStore.put(key, value, version);
      return { status: StoreStatus.Unknown, message: "lost" };
    },
  });
  const isOwnWrite = (object: StoredObject) => object.value === "mine";
  const result = await putWithReadBack(store, "k", "mine", ABSENT, {
    isOwnWrite,
  });
  expect(result).toEqual({ status: StoreStatus.Ok, version: 1 });
});
