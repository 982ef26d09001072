/** Tests the host view: subsets, leaving backend servers and failed calls. */
import { describe, expect, test } from "@jest/globals";
import {
  BackendRole,
  type BackendServer,
  HostState,
  type LoadHint,
} from "@sassafrascleat/protocol";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import * as fc from "fast-check";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createHostView, createHttpHostSource } from "../index.ts";

const neverAborted = new AbortController().signal;

function server(name: string, zone = "a"): BackendServer {
  return {
    name,
    office: "north",
    availabilityZone: zone,
    pool: "decode",
    role: BackendRole.Decode,
    sidecarAddress: "http://127.0.0.1:1",
    engineAddress: "http://127.0.0.1:2",
    state: HostState.Live,
  };
}

function hint(leaving: boolean): LoadHint {
  return {
    running: 0,
    reserved: 0,
    slots: 20,
    freePieces: 1,
    totalPieces: 1,
    queuedTokens: 0,
    rate: 1,
    leaving,
  };
}

class FakeHostSource {
  servers: BackendServer[] | undefined;

  constructor(servers: BackendServer[]) {
    this.servers = servers;
  }

  list(): Promise<BackendServer[] | undefined> {
    return Promise.resolve(this.servers);
  }
}

async function setUp(servers: BackendServer[], subsetSize = 4) {
  const clock = new ManualClock(1_000);
  const source = new FakeHostSource(servers);
  const view = createHostView({
    source,
    office: "north",
    availabilityZone: "a",
    entryId: "entry-1",
    subsetSize,
    clock,
    random: createRandom(1),
  });
  await view.refresh(neverAborted);
  const names = () => view.candidates("decode").map((s) => s.name);
  return { clock, source, view, names };
}

const serversInZone = (count: number, zone: string) =>
  Array.from({ length: count }, (_, index) => server(`${zone}${index}`, zone));

describe("subsets", () => {
  test("are bounded, same zone first, with a share reserved for other zones", async () => {
    const { names } = await setUp([
      ...serversInZone(20, "a"),
      ...serversInZone(20, "b"),
    ], 8);
    expect(names()).toHaveLength(8);
    expect(names().map((name) => name[0]).join("")).toBe("aaaaaabb");
  });

  test("change at most one member when one backend server is removed", async () => {
    const all = [...serversInZone(30, "a"), ...serversInZone(30, "b")];
    await fc.assert(
      fc.asyncProperty(fc.nat(59), async (index) => {
        const { source, view, names } = await setUp(all, 8);
        const before = names();
        source.servers = all.filter((_, at) => at !== index);
        for (let round = 0; round < 3; round++) {
          await view.refresh(neverAborted);
        }
        const kept = names().filter((name) => before.includes(name));
        expect(names()).toHaveLength(8);
        expect(kept.length).toBe(before.includes(all[index]!.name) ? 7 : 8);
      }),
      { seed: 7, numRuns: 60 },
    );
  });
});

describe("leaving", () => {
  test("a sidecar's report takes precedence over a host list that still says live", async () => {
    const { view, names } = await setUp([server("x"), server("y")]);
    view.observe("x", "i1", hint(true));
    await view.refresh(neverAborted);
    expect(names()).toEqual(["y"]);
    expect(view.find("x")?.state).toBe(HostState.Leaving);
  });

  test("a delayed reply sent before the leaving report is ignored", async () => {
    const { clock, view, names } = await setUp([server("x")]);
    view.observe("x", "i1", hint(true));
    clock.advance(300);
    view.observe("x", "i1", hint(false));
    expect(names()).toEqual([]);
    clock.advance(5_000);
    view.observe("x", "i1", hint(false));
    expect(names()).toEqual(["x"]);
  });

  test("a new incarnation is used regardless of the host list and the old incarnation", async () => {
    const { source, view, names } = await setUp([server("x")]);
    view.observe("x", "i1", hint(true));
    source.servers = [{ ...server("x"), state: HostState.Leaving }];
    await view.refresh(neverAborted);
    view.observe("x", "i2", hint(false));
    expect(names()).toEqual(["x"]);
    view.observe("x", "i1", hint(true));
    expect(names()).toEqual(["x"]);
  });

  test("the host list alone stops new requests if the sidecar's report was lost", async () => {
    const { source, view, names } = await setUp([server("x")]);
    view.observe("x", "i1", hint(false));
    source.servers = [{ ...server("x"), state: HostState.Leaving }];
    await view.refresh(neverAborted);
    view.observe("x", "i1", hint(false));
    expect(names()).toEqual([]);
  });

  test("a backend server that returned unnoticed is used again after the report expires", async () => {
    const { clock, view, names } = await setUp([server("x"), server("y")]);
    view.observe("x", "i1", hint(true));
    clock.advance(29_000);
    expect(names()).toEqual(["y"]);
    clock.advance(2_000);
    expect(names().sort()).toEqual(["x", "y"]);
  });

  test("a pool that is leaving as a whole is probed before the report expires", async () => {
    const { clock, view, names } = await setUp([server("x"), server("y")]);
    view.observe("x", "i1", hint(true));
    view.observe("y", "i1", hint(true));
    clock.advance(2_000);
    expect(names()).toEqual([]);
    clock.advance(1_000);
    expect(names().sort()).toEqual(["x", "y"]);
    view.observe("x", "i1", hint(true));
    view.observe("y", "i1", hint(false));
    expect(names()).toEqual(["y"]);
  });

  test("a pool that is leaving according to the host list is not probed", async () => {
    const leaving = { ...server("x"), state: HostState.Leaving };
    const { clock, view, names } = await setUp([leaving]);
    view.observe("x", "i1", hint(true));
    clock.advance(60_000);
    expect(names()).toEqual([]);
  });
});

describe("a leaving report that only one of many router processes received", () => {
  test("costs each other process at most one refused call, and the leaving server gets no work", async () => {
    const all = serversInZone(6, "a");
    const leaving = all[0]!.name;
    const accepted = new Map<string, number>();
    const entries = await Promise.all(
      Array.from({ length: 8 }, () => setUp(all, 6)),
    );
    entries[0]!.view.observe(leaving, "i1", hint(true));
    let refused = 0;
    for (const { clock, view } of entries) {
      for (let call = 0; call < 60; call++) {
        clock.advance(100);
        const candidates = view.candidates("decode");
        const { name } = candidates[call % candidates.length]!;
        const isLeaving = name === leaving;
        if (isLeaving) refused += 1;
        else accepted.set(name, (accepted.get(name) ?? 0) + 1);
        view.observe(name, "i1", hint(isLeaving));
        await view.refresh(neverAborted);
      }
    }
    expect(refused).toBeLessThanOrEqual(entries.length - 1);
    expect(accepted.size).toBe(5);
  });
});

describe("the host list", () => {
  test("stays as last read while it is unreadable", async () => {
    const { source, view, names } = await setUp([server("x")]);
    source.servers = undefined;
    for (let round = 0; round < 5; round++) await view.refresh(neverAborted);
    expect(names()).toEqual(["x"]);
  });

  test("removes a backend server only after several reads without it", async () => {
    const { source, view, names } = await setUp([server("x")]);
    source.servers = [];
    await view.refresh(neverAborted);
    await view.refresh(neverAborted);
    expect(names()).toEqual(["x"]);
    await view.refresh(neverAborted);
    expect(names()).toEqual([]);
    expect(view.find("x")).toBeUndefined();
  });

  test("skips invalid entries", async () => {
    const body = JSON.stringify({ hosts: [server("x"), { name: "broken" }] });
    const http = createServer((_req, res) => res.end(body));
    await new Promise<void>((done) => http.listen(0, "127.0.0.1", done));
    const { port } = http.address() as AddressInfo;
    const source = createHttpHostSource({
      baseUrl: `http://127.0.0.1:${port}`,
    });
    expect(await source.list(neverAborted)).toEqual([server("x")]);
    http.closeAllConnections();
    await new Promise((done) => http.close(done));
    expect(await source.list(neverAborted)).toBeUndefined();
  });
});

describe("failures", () => {
  test("exclude for increasing times, then sort last until a call succeeds", async () => {
    const { clock, view, names } = await setUp([server("x"), server("y")]);
    view.observeFailure("x");
    expect(names()).toEqual(["y"]);
    clock.advance(1_000);
    expect(names()).toEqual(["y", "x"]);
    for (let round = 0; round < 6; round++) {
      view.observeFailure("x");
      clock.advance(1_000);
    }
    expect(names()).toEqual(["y"]);
    clock.advance(60_000);
    expect(names()).toEqual(["y", "x"]);
    view.observe("x", "i1", hint(false));
    expect(new Set(names())).toEqual(new Set(["x", "y"]));
  });

  test("of a whole zone fill the subset from other zones", async () => {
    const { view, names } = await setUp([
      ...serversInZone(8, "a"),
      ...serversInZone(8, "b"),
    ], 4);
    for (const { name } of serversInZone(8, "a")) view.observeFailure(name);
    expect(names().map((name) => name[0]).join("")).toBe("bbbb");
  });

  test("of every backend server still return all of them", async () => {
    const { view, names } = await setUp([server("x"), server("y")]);
    view.observeFailure("x");
    view.observeFailure("y");
    expect(names()).toHaveLength(2);
  });
});
