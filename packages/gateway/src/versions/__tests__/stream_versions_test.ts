import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import { type Backend, BackendState } from "../../backends/backend.ts";
import { BackendDirectory } from "../../backends/directory.ts";
import { ConfigHolder } from "../../config/config_holder.ts";
import { RouteKind } from "../../config/routing_table.ts";
import type { StreamVersion } from "../stream_version.ts";
import { StreamVersions } from "../stream_versions.ts";
import {
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "../version_log.ts";

const RETAIN_MS = 30_000;
/** Longest random delay of a change of the default, in milliseconds. */
const SPREAD_MS = 2_000;
const STEP_MS = 50;
const SIGNAL = new AbortController().signal;

/** A log that can be unreachable, and is observed on request. */
class FakeLog implements VersionLog {
  readonly records = new Map<string, string>();
  readonly defaults = new Map<string, string>();
  complete = true;
  unreachable = false;
  calls: string[] = [];

  record(streamId: string, version: string): Promise<boolean> {
    this.calls.push(`record ${streamId} ${version}`);
    if (!this.unreachable) this.records.set(streamId, version);
    return Promise.resolve(!this.unreachable);
  }

  find(streamId: string): Promise<RecordedVersion> {
    const version = this.records.get(streamId);
    if (this.unreachable) return Promise.resolve({ end: RecordLookup.Unknown });
    return Promise.resolve(
      version === undefined
        ? { end: RecordLookup.Absent }
        : { end: RecordLookup.Found, version },
    );
  }

  remove(streamId: string): void {
    this.calls.push(`remove ${streamId}`);
    this.records.delete(streamId);
  }

  setDefault(
    service: string,
    version: string,
    before: string | undefined,
  ): Promise<void> {
    this.calls.push(`default ${before} ${version}`);
    if (this.defaults.get(service) === before) {
      this.defaults.set(service, version);
    }
    return Promise.resolve();
  }

  markComplete(): Promise<void> {
    this.complete = true;
    return Promise.resolve();
  }
}

/** One router with its own view of the servers. */
class Router {
  readonly directory: BackendDirectory;
  readonly versions: StreamVersions;

  constructor(seed = 1) {
    const log = () => {};
    const config = new ConfigHolder(clock, log);
    this.directory = new BackendDirectory({ clock, log, expiryGraceMs: 0 });
    this.directory.reset([]);
    this.versions = new StreamVersions({
      clock,
      log,
      random: createRandom(seed),
      directory: this.directory,
      config,
      versionLog: () => versionLog,
      retainMs: RETAIN_MS,
    });
    config.activateIfNewer({
      version: 1,
      routes: [{
        name: "again",
        host: "co.example",
        pathPrefix: "/",
        kind: RouteKind.Stream,
        timeoutMs: 4_000,
        targetLatencyMs: 900,
        priority: 1,
        targets: [{ service: "llm", weight: 1 }],
        maxAttempts: 2,
        resumable: true,
        maxEventGapMs: 300,
      }],
      services: new Map([["llm", { name: "llm", maxConnections: 9 }]]),
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
    this.see();
  }

  /** Learns what the log has as defaults. */
  see(): void {
    const { defaults, complete } = versionLog;
    this.versions.observe({ versions: new Map(defaults), complete });
  }

  list(version: string, state = BackendState.Ready): void {
    this.directory.put(server(version, state));
  }

  unlist(version: string): void {
    this.directory.remove(server(version).id);
  }

  /** Lets time pass; the router checks and observes meanwhile. */
  pass(ms: number): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(STEP_MS);
      this.versions.check();
      if (!versionLog.unreachable) this.see();
    }
  }

  open(requestId: string, resumedRequestId?: string): StreamVersion {
    return this.versions.open({
      service: "llm",
      requestId,
      resumable: true,
      ...(resumedRequestId === undefined
        ? {}
        : { lastEventId: "1", resumedRequestId }),
    });
  }

  /** Begins a stream and ends it; false if it can't begin there. */
  async begin(
    id: string,
    version: string,
    complete = false,
  ): Promise<boolean> {
    const stream = this.open(id);
    const backend = server(version);
    if (!stream.allows(backend)) return false;
    if (!await stream.prepare(backend, SIGNAL)) return false;
    stream.begun(backend);
    stream.close(complete);
    return true;
  }

  /** The versions at which a stream that is taken up again may go on. */
  async takeUp(id: string): Promise<string[]> {
    const stream = this.open(`${id}-again`, id);
    if (!await stream.resolve(SIGNAL)) return [];
    return ["v1", "v2", "v3"].filter((it) => stream.allows(server(it)));
  }
}

function server(version: string, state = BackendState.Ready): Backend {
  return {
    id: `i-${version}`,
    service: "llm",
    address: `10.0.0.${version.slice(1)}:80`,
    zone: "z",
    slots: 4,
    state,
    version,
  };
}

/** Lets writes that were started come to their end. */
async function settled(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 5));
}

let clock: ManualClock;
let versionLog: FakeLog;
let router: Router;

/** Expects that all records are removed when no stream can be resumed. */
function expectRemovedInTime(): void {
  const count = versionLog.records.size;
  jest.advanceTimersByTime(RETAIN_MS - 1);
  expect(versionLog.records.size).toBe(count);
  expect(count).toBeGreaterThan(0);
  jest.advanceTimersByTime(1);
  expect(versionLog.records.size).toBe(0);
}

afterEach(() => void jest.useRealTimers());

beforeEach(() => {
  clock = new ManualClock(1_000_000);
  versionLog = new FakeLog();
  router = new Router();
  router.list("v1");
  router.pass(300);
});

describe("the default version", () => {
  test("is the commonest one at first, set after a short random delay", () => {
    expect(versionLog.calls).toEqual(["default undefined v1"]);
  });

  test("is not set before it is known that there is none", () => {
    const log = versionLog;
    versionLog = new FakeLog();
    versionLog.unreachable = true;
    const other = new Router();
    other.list("v2");
    other.directory.markStoreUnreachable();
    other.pass(5_000);
    expect([log.calls.length, versionLog.calls]).toEqual([1, []]);
  });

  test("changes once its servers have been gone for long enough", () => {
    router.list("v2");
    router.unlist("v1");
    router.pass(RETAIN_MS - 100);
    expect(versionLog.defaults.get("llm")).toBe("v1");
    router.pass(SPREAD_MS + 200);
    expect(versionLog.defaults.get("llm")).toBe("v2");
    expect(versionLog.calls).toHaveLength(2);
  });

  test("doesn't change while a server of it drains, or is back in time", () => {
    router.list("v2");
    router.list("v1", BackendState.Draining);
    router.pass(2 * RETAIN_MS);
    router.unlist("v1");
    router.pass(RETAIN_MS - 100);
    router.list("v1");
    router.pass(RETAIN_MS);
    expect(versionLog.defaults.get("llm")).toBe("v1");
  });

  test("doesn't change for an absence during which the store was away", () => {
    router.list("v2");
    router.unlist("v1");
    router.pass(RETAIN_MS / 2);
    router.directory.markStoreUnreachable();
    router.pass(RETAIN_MS);
    router.directory.markStoreReachable();
    router.pass(RETAIN_MS - 200);
    expect(versionLog.defaults.get("llm")).toBe("v1");
    router.pass(SPREAD_MS + 400);
    expect(versionLog.defaults.get("llm")).toBe("v2");
  });

  test("is changed by one of many routers, since they wait at random", () => {
    const others = [2e8, 5e8, 9e8, 16e8].map((seed) => new Router(seed));
    for (const it of [router, ...others]) {
      it.list("v2");
      it.unlist("v1");
    }
    versionLog.calls = [];
    for (let ms = 0; ms < RETAIN_MS + SPREAD_MS + 200; ms += STEP_MS) {
      clock.advance(STEP_MS);
      for (const it of [router, ...others]) {
        it.versions.check();
        it.see();
      }
    }
    expect(versionLog.calls).toEqual(["default v1 v2"]);
  });
});

describe("a stream", () => {
  test("goes back and forth with versions that are rolled back", async () => {
    const other = new Router();
    other.list("v1");
    const both = [router, other];
    await router.begin("a", "v1");
    for (const it of both) it.list("v2");
    for (const it of both) it.unlist("v1");
    await router.begin("b", "v2");
    expect(await other.takeUp("a")).toEqual(["v1"]);
    expect(await other.takeUp("b")).toEqual(["v2"]);
    router.pass(RETAIN_MS + SPREAD_MS);
    other.see();
    await router.begin("c", "v2");
    for (const it of both) it.list("v1");
    await router.begin("d", "v1");
    expect(await other.takeUp("b")).toEqual(["v2"]);
    expect(await other.takeUp("c")).toEqual(["v2"]);
    expect(await other.takeUp("d")).toEqual(["v1"]);
    expect([...versionLog.records.keys()].sort()).toEqual(["b", "d"]);
  });

  test("is recorded at a default that other routers may be about to change", async () => {
    router.list("v2");
    router.unlist("v1");
    router.pass(RETAIN_MS - 100);
    router.list("v1");
    await router.begin("a", "v1");
    expect(versionLog.records.get("a")).toBe("v1");
    router.unlist("v2");
    router.pass(RETAIN_MS - 100);
    await router.begin("b", "v1");
    expect(versionLog.records.get("b")).toBe("v1");
    router.pass(200);
    await router.begin("c", "v1");
    expect(versionLog.records.has("c")).toBe(false);
  });

  test("is recorded at the default too while two versions are listed", async () => {
    await router.begin("a", "v1");
    expect(versionLog.records.has("a")).toBe(false);
    router.list("v2");
    await router.begin("b", "v1");
    expect(versionLog.records.get("b")).toBe("v1");
  });

  test("has a new record if it begins elsewhere than it was to", async () => {
    jest.useFakeTimers();
    router.list("v2");
    const stream = router.open("a");
    expect(await stream.prepare(server("v2"), SIGNAL)).toBe(true);
    expect(await stream.prepare(server("v1"), SIGNAL)).toBe(true);
    expect(versionLog.records.get("a")).toBe("v1");
    stream.begun(server("v1"));
    expect(stream.allows(server("v2"))).toBe(false);
    stream.close(true);
    expectRemovedInTime();
  });

  test("stays at the version of a server that may still begin it", async () => {
    router.list("v2");
    const both = [server("v1"), server("v2")];
    const stream = router.open("a");
    await stream.prepare(server("v2"), SIGNAL);
    stream.sent(server("v2"));
    expect(stream.select(both)).toEqual([server("v2")]);
    stream.ended();
    expect(stream.select(both)).toEqual(both);
  });

  test("doesn't begin at a version that its record may contradict", async () => {
    router.list("v2");
    const stream = router.open("a");
    versionLog.unreachable = true;
    expect(await stream.prepare(server("v2"), SIGNAL)).toBe(false);
    expect(await stream.prepare(server("v1"), SIGNAL)).toBe(false);
    expect(stream.select([server("v1"), server("v2")])).toEqual([]);
    stream.close(false);
    expect(versionLog.calls).not.toContain("remove a");
  });

  test("begins at the default while the store is unreachable", async () => {
    router.list("v2");
    versionLog.unreachable = true;
    router.directory.markStoreUnreachable();
    expect(await router.begin("a", "v2")).toBe(false);
    expect(await router.begin("a", "v1")).toBe(true);
    expect(await new Router().takeUp("a")).toEqual([]);
    expect(await router.takeUp("a")).toEqual(["v1"]);
  });

  test("begins elsewhere unrecorded only if nothing else serves", async () => {
    router.list("v2");
    router.unlist("v1");
    versionLog.unreachable = true;
    router.directory.markStoreUnreachable();
    router.versions.check();
    expect(await router.begin("a", "v2")).toBe(true);
    versionLog.unreachable = false;
    expect(await new Router().takeUp("a")).toEqual(["v1"]);
    router.directory.markStoreReachable();
    router.versions.check();
    expect(await new Router().takeUp("a")).toEqual(["v2"]);
  });

  test("is recorded late if others have changed the default meanwhile", async () => {
    router.list("v2");
    router.directory.markStoreUnreachable();
    await router.begin("long ago", "v1");
    router.pass(RETAIN_MS);
    await router.begin("a", "v1");
    const stream = router.open("b");
    await stream.prepare(server("v1"), SIGNAL);
    stream.begun(server("v1"));
    stream.close(true);
    expect(versionLog.records.size).toBe(0);
    versionLog.defaults.set("llm", "v2");
    router.see();
    expect([...versionLog.records]).toEqual([["a", "v1"]]);
  });

  // A router may be lost with the end of a stream that it has written.
  test("keeps its record, complete or not, until it can't be resumed", async () => {
    jest.useFakeTimers();
    router.list("v2");
    await router.begin("a", "v2");
    const again = router.open("b", "a");
    expect(await again.resolve(SIGNAL)).toBe(true);
    again.close(false);
    expect([...versionLog.records.keys()]).toEqual(["a"]);
    const last = router.open("c", "a");
    await last.resolve(SIGNAL);
    last.begun(server("v2"));
    last.close(true);
    expectRemovedInTime();
  });

  test("that can't be resumed needs no record, but stays where it began", async () => {
    router.list("v2");
    const stream = router.versions.open({
      service: "llm",
      requestId: "a",
      resumable: false,
    });
    expect(await stream.prepare(server("v2"), SIGNAL)).toBe(true);
    stream.begun(server("v2"));
    expect(stream.select([server("v1"), server("v2")])).toEqual([server("v2")]);
    expect(versionLog.records.size).toBe(0);
  });
});

describe("a log that was restored from a copy", () => {
  test("gets the records of living routers again", async () => {
    router.list("v2");
    await router.begin("a", "v2");
    await router.begin("b", "v1");
    await router.begin("ended", "v2", true);
    versionLog.records.clear();
    versionLog.complete = false;
    router.versions.handleStoreRestored();
    router.see();
    await settled();
    expect([...versionLog.records].sort()).toEqual([["a", "v2"], ["b", "v1"]]);
    const other = new Router();
    expect(await other.takeUp("a")).toEqual(["v2"]);
    expect(await other.takeUp("b")).toEqual(["v1"]);
  });

  test("proves nothing until interrupted streams can't be resumed", async () => {
    const lost = new Router();
    for (const it of [router, lost]) it.list("v2");
    lost.list("v1");
    await lost.begin("a", "v2");
    versionLog.records.clear();
    versionLog.complete = false;
    router.versions.handleStoreRestored();
    router.see();
    const other = new Router();
    other.list("v1");
    other.list("v2");
    expect(await other.takeUp("a")).toEqual([]);
    expect(await router.takeUp("a")).toEqual([]);
    expect(await lost.takeUp("a")).toEqual(["v2"]);
    await router.begin("b", "v1");
    expect(await other.takeUp("b")).toEqual(["v1"]);
    router.pass(RETAIN_MS - 100);
    expect(versionLog.complete).toBe(false);
    router.pass(SPREAD_MS + 200);
    expect(versionLog.complete).toBe(true);
    await router.begin("c", "v1");
    expect([...versionLog.records.keys()]).toEqual(["b", "c"]);
    other.see();
    versionLog.records.delete("c");
    expect(await other.takeUp("c")).toEqual(["v1"]);
  });

  test("is not trusted before it has been observed again", async () => {
    router.list("v2");
    router.versions.handleStoreRestored();
    expect(await router.takeUp("unknown")).toEqual([]);
    router.see();
    expect(await router.takeUp("unknown")).toEqual(["v1"]);
  });

  test("counts other versions that were listed lately", async () => {
    router.list("v2");
    router.unlist("v2");
    versionLog.complete = false;
    router.see();
    expect(await router.takeUp("unknown")).toEqual([]);
    versionLog.complete = false;
    router.pass(RETAIN_MS - 1_000);
    expect(await router.takeUp("unknown")).toEqual([]);
  });
});
