/** The store in memory against a plain map. */
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  ABSENT,
  createMemoryStore,
  putResolved,
  type StoredObject,
  StoreStatus,
} from "../index.ts";

const key = fc.constantFrom("a/1", "a/2", "a/10", "b/1");

/** One call: a value to put, or nothing for a deletion. */
const call = fc.record({
  key,
  value: fc.option(fc.integer(), { nil: undefined }),
  /** Whether the right version is stated. */
  current: fc.boolean(),
});

describe("memory store", () => {
  test("does what a map with versions does", async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(call, { maxLength: 40 }), async (calls) => {
        const store = createMemoryStore();
        const model = new Map<string, StoredObject>();
        let highest = 0;
        for (const { key, value, current } of calls) {
          const version = model.get(key)?.version ?? ABSENT;
          const stated = current ? version : version + 1;
          const result = value === undefined
            ? await store.delete(key, stated)
            : await store.put(key, value, stated);
          if (!current) {
            expect(result.status).toBe(StoreStatus.Conflict);
            continue;
          }
          expect(result.status).toBe(StoreStatus.Ok);
          if (value === undefined) model.delete(key);
          else if (result.status === StoreStatus.Ok) {
            expect(result.version).toBeGreaterThan(highest);
            highest = result.version;
            model.set(key, { key, version: result.version, value });
          }
        }
        const expected = [...model.values()]
          .filter((object) => object.key.startsWith("a/"))
          .sort((x, y) => x.key < y.key ? -1 : 1);
        const listed = await store.list({ prefix: "a/" });
        expect(listed).toMatchObject({ objects: expected });
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  test("pages through a prefix", async () => {
    const store = createMemoryStore();
    for (const name of ["a", "p/1", "p/2", "p/3", "q"]) {
      await store.put(name, name, ABSENT);
    }
    const page = await store.list({ prefix: "p/", after: "p/1", limit: 1 });
    expect(page).toMatchObject({ objects: [{ key: "p/2" }] });
  });

  test("a watch shows the last state of each key, deletions too", async () => {
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

  test("a watch ends with its caller", async () => {
    const store = createMemoryStore();
    const controller = new AbortController();
    const watch = { prefix: "w/", afterRevision: 0, waitMs: 60_000 };
    const watching = store.watch(watch, controller.signal);
    controller.abort();
    expect((await watching).status).toBe(StoreStatus.Unknown);
  });
});

test("putResolved takes a write that arrives late as its own", async () => {
  const inner = createMemoryStore();
  let late: (() => Promise<unknown>) | undefined;
  const store = Object.assign(Object.create(inner), {
    get: inner.get.bind(inner),
    put: async (key: string, value: unknown, version: number) => {
      if (late) {
        await late();
        return inner.put(key, value, version);
      }
      late = () => inner.put(key, value, version);
      return { status: StoreStatus.Unknown, message: "lost" };
    },
  });
  const isMine = (object: StoredObject) => object.value === "mine";
  const result = await putResolved(store, "k", "mine", ABSENT, { isMine });
  expect(result).toEqual({ status: StoreStatus.Ok, version: 1 });
});
