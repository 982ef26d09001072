import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { type Backend, BackendState } from "../backend.ts";
import { BackendDirectory, DirectoryChange } from "../directory.ts";

function backend(id: string, more: Partial<Backend> = {}): Backend {
  return {
    id,
    service: "s",
    address: "127.0.0.1:1",
    zone: "z1",
    slots: 4,
    state: BackendState.Ready,
    version: "v1",
    startedAtMs: 1,
    ...more,
  };
}

function create() {
  const clock = new ManualClock(10_000);
  const directory = new BackendDirectory({ clock, log: () => {} });
  const changes: string[] = [];
  directory.onChange((change, item) => changes.push(`${change} ${item.id}`));
  directory.reset([backend("a"), backend("b")]);
  const ready = () => directory.ready("s").map((item) => item.id);
  return { clock, directory, changes, ready };
}

test("a draining backend server gets no new requests", () => {
  const { directory, ready, changes } = create();
  directory.put(backend("a", { state: BackendState.Draining }));
  expect(ready()).toEqual(["b"]);
  expect(changes).toContain(`${DirectoryChange.Draining} a`);
});

test("an entry that disappears while the store is reachable is removed", () => {
  const { directory, ready } = create();
  directory.remove("a");
  expect(ready()).toEqual(["b"]);
});

describe("an entry that vanishes around an outage", () => {
  test("stays usable during the outage and shortly after", () => {
    const { clock, directory, ready } = create();
    directory.markStoreUnreachable();
    clock.advance(5_000);
    directory.markStoreReachable();
    directory.reset([backend("b")]);
    expect(ready().sort()).toEqual(["a", "b"]);
    clock.advance(1_000);
    directory.put(backend("a"));
    clock.advance(5_000);
    expect(ready().sort()).toEqual(["a", "b"]);
  });

  test("is removed if it is not listed again within the grace period", () => {
    const { clock, directory, ready } = create();
    directory.markStoreUnreachable();
    directory.markStoreReachable();
    directory.reset([backend("b")]);
    clock.advance(1_801);
    expect(ready()).toEqual(["b"]);
  });
});

test("a restart under the same id is another incarnation", () => {
  const { directory, changes } = create();
  changes.length = 0;
  directory.put(backend("a", { startedAtMs: 2 }));
  expect(changes).toEqual([
    `${DirectoryChange.Removed} a`,
    `${DirectoryChange.Changed} a`,
  ]);
});

test("an unchanged entry is not reported as a change", () => {
  const { directory, changes } = create();
  changes.length = 0;
  directory.put(backend("a"));
  expect(changes).toEqual([]);
});

test("an incarnation that is draining never takes that back", () => {
  const { directory, ready } = create();
  directory.put(backend("a", { state: BackendState.Draining }));
  directory.put(backend("a"));
  expect(ready()).toEqual(["b"]);
  directory.put(backend("a", { startedAtMs: 2 }));
  expect(ready().sort()).toEqual(["a", "b"]);
});

// The run of an engine that said itself that it leaves could go back to it only in
// 0.7 s, although the store told a later begin of the drain.
test("LOST: the store tells when a server that says so itself began to drain", () => {
  const { clock, directory } = create();
  const draining = { state: BackendState.Draining };
  directory.markDraining(backend("a"));
  expect(directory.leavingSinceMs(backend("a"))).toBeLessThan(clock.now());
  const writtenAtMs = clock.now() - 300;
  directory.put(backend("a", draining), writtenAtMs);
  expect(directory.leavingSinceMs(backend("a"))).toBe(writtenAtMs);
  // Later changes of the entry, and whole lists, don't tell when the drain began.
  clock.advance(500);
  directory.put(backend("a", draining), clock.now());
  directory.reset([backend("a", draining), backend("b")]);
  expect(directory.leavingSinceMs(backend("a"))).toBe(writtenAtMs);
});

describe("a store that was restored from a copy", () => {
  test("DRAIN: lists a backend server that was draining as ready", () => {
    const { directory, ready } = create();
    directory.put(backend("a", { state: BackendState.Draining }));
    directory.markStoreRestored();
    directory.reset([backend("a"), backend("b")]);
    expect(ready()).toEqual(["b"]);
  });

  test("DRAIN: lists a backend server that has left", () => {
    const { clock, directory, ready } = create();
    directory.remove("a");
    clock.advance(10_000);
    directory.markStoreRestored();
    directory.reset([backend("a"), backend("b")]);
    expect(ready()).toEqual(["b"]);
    clock.advance(4_000);
    directory.remove("a");
    clock.advance(4_000);
    expect(ready()).toEqual(["b"]);
  });

  test("a backend server that was taken for gone is used if it keeps its entry", () => {
    const { clock, directory, ready } = create();
    directory.remove("a");
    directory.markStoreRestored();
    directory.reset([backend("a"), backend("b")]);
    clock.advance(5_001);
    expect(ready().sort()).toEqual(["a", "b"]);
  });

  test("a backend server that was taken for gone is used if it writes its entry", () => {
    const { directory, ready } = create();
    directory.remove("a");
    directory.markStoreRestored();
    directory.reset([backend("a"), backend("b")]);
    directory.put(backend("a"));
    expect(ready().sort()).toEqual(["a", "b"]);
  });

  test("keeps a backend server that is newer than the copy for a while", () => {
    const { clock, directory, ready } = create();
    directory.markStoreRestored();
    directory.reset([backend("b")]);
    expect(ready().sort()).toEqual(["a", "b"]);
    clock.advance(1_801);
    expect(ready()).toEqual(["b"]);
  });

  test("lists an earlier incarnation of a backend server", () => {
    const { directory } = create();
    directory.put(backend("a", { startedAtMs: 2 }));
    directory.markStoreRestored();
    directory.reset([backend("a"), backend("b")]);
    expect(directory.get("a")?.startedAtMs).toBe(2);
  });
});
