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
