import { beforeEach, describe, expect, test } from "@jest/globals";
import { createRandom, ManualClock, sleep } from "@sassafrascleat/runtime";
import type { CrashRecord } from "../../decide/crash_causes.ts";
import { type CrashLog, LocalCrashLog } from "../crash_log.ts";
import { RequestKeys } from "../request_keys.ts";
import { RequestQuarantine } from "../request_quarantine.ts";

const MINUTE_MS = 60_000;
const MANY = 30;

let clock: ManualClock;
let crashLog: CrashLog;
let quarantine: RequestQuarantine;

beforeEach(() => {
  clock = new ManualClock();
  crashLog = new LocalCrashLog();
  quarantine = create();
});

function create(log = () => crashLog): RequestQuarantine {
  return new RequestQuarantine({
    clock,
    log: () => {},
    random: createRandom(3),
    crashLog: log,
  });
}

let requests = 0;

/** Keys of a request with these shared parts and a body of its own. */
function prompt(...parts: string[]): RequestKeys {
  requests += 1;
  return request(`body ${requests}`, parts);
}

function request(
  body: string,
  parts: string[] = [],
  service = "llm",
): RequestKeys {
  return new RequestKeys({
    service,
    method: "POST",
    host: "co.example",
    target: "/x",
    body: Buffer.from(body),
    promptParts: [...parts, "own"].map((id) => ({ id, tokens: 10 })),
  });
}

function remainingMs(...parts: string[]): number {
  return quarantine.remainingMs(prompt(...parts));
}

function crash(engine: string, ...parts: string[]): void {
  quarantine.recordCrash(engine, prompt(...parts));
}

/** Many requests with a part. */
function blocked(part: string): RequestKeys[] {
  return Array.from({ length: MANY }, () => prompt(part));
}

describe("the quarantine of a prompt", () => {
  test("begins with the second crash and doubles with each one after it", () => {
    crash("e1", "bad");
    expect(remainingMs("bad")).toBe(0);
    crash("e2", "bad");
    expect(remainingMs("bad")).toBe(MINUTE_MS);
    clock.advance(MINUTE_MS);
    expect(remainingMs("bad")).toBe(0);
    crash("e3", "bad");
    expect(remainingMs("bad")).toBe(2 * MINUTE_MS);
  });

  test("counts an engine that several requests were lost with once", () => {
    crash("e1", "bad");
    crash("e1", "bad");
    expect(remainingMs("bad")).toBe(0);
  });

  test("holds for one service", () => {
    crash("e1", "bad");
    crash("e2", "bad");
    expect(quarantine.remainingMs(request("", ["bad"], "other"))).toBe(0);
  });

  test("ends when a request with the part runs", () => {
    crash("e1", "part");
    crash("e2", "part");
    clock.advance(10);
    quarantine.recordRun(prompt("part"));
    expect(remainingMs("part")).toBe(0);
  });

  test("holds for a whole request without shared parts, and for it alone", () => {
    for (const engine of ["e1", "e2"]) {
      quarantine.recordCrash(engine, request("bad"));
      quarantine.recordCrash(engine, prompt());
    }
    expect(quarantine.remainingMs(request("bad"))).toBe(MINUTE_MS);
    expect(quarantine.remainingMs(request("sound"))).toBe(0);
    expect(quarantine.remainingMs(request("bad", [], "other"))).toBe(0);
    clock.advance(MINUTE_MS);
    expect(quarantine.remainingMs(request("bad"))).toBe(0);
  });

  test("a request that runs again and again is not suspected", () => {
    quarantine.recordRun(request("poll"));
    for (const engine of ["e1", "e2"]) {
      quarantine.recordCrash(engine, request("poll"));
    }
    expect(quarantine.remainingMs(request("poll"))).toBe(0);
  });

  test("the last part is never suspected", () => {
    crash("e1");
    crash("e2");
    expect(remainingMs()).toBe(0);
  });

  test("a part that has run is suspected after three separate crashes", () => {
    quarantine.recordRun(prompt("part"));
    for (const [engine, afterMs] of [["e1", 5], ["e2", 5], ["e3", 2_000]]) {
      clock.advance(afterMs as number);
      crash(engine as string, "part");
    }
    expect(remainingMs("part")).toBe(0);
    for (const engine of ["e4", "e5"]) {
      clock.advance(2_000);
      crash(engine, "part");
    }
    expect(remainingMs("part")).toBe(MINUTE_MS);
  });

  // Guards against a service that is lost at once, and then blocked as a whole.
  test("a part of all requests that two servers were lost with is tried", () => {
    crash("e1", "shared");
    crash("e2", "shared");
    const tried = blocked("shared").find((it) =>
      quarantine.remainingMs(it) === 0
    );
    expect(tried).toBeDefined();
    expect(remainingMs("shared")).toBe(MINUTE_MS);
    clock.advance(10);
    quarantine.recordRun(tried as RequestKeys);
    expect(remainingMs("shared")).toBe(0);
  });

  test("a request that was tried and lost is not tried again", () => {
    crash("e1", "bad");
    crash("e2", "bad");
    const tried = blocked("bad").find((it) => quarantine.remainingMs(it) === 0);
    quarantine.recordCrash("e3", tried as RequestKeys);
    expect(quarantine.remainingMs(tried as RequestKeys)).toBe(2 * MINUTE_MS);
  });

  test("a harmful part is not tried while other requests are admitted", () => {
    crash("e1", "bad");
    crash("e2", "bad");
    for (const keys of blocked("bad")) {
      expect(quarantine.remainingMs(keys)).toBe(MINUTE_MS);
      expect(remainingMs("sound")).toBe(0);
    }
  });

  test("a part is not tried after five crashes, a request after three", () => {
    for (const engine of ["e1", "e2", "e3"]) {
      quarantine.recordCrash(engine, request("bad"));
    }
    for (let i = 0; i < MANY; i += 1) {
      expect(quarantine.remainingMs(request("bad"))).toBeGreaterThan(0);
    }
    quarantine = create();
    for (const engine of ["e1", "e2", "e3", "e4", "e5"]) crash(engine, "bad");
    for (const keys of blocked("bad")) {
      expect(quarantine.remainingMs(keys)).toBeGreaterThan(0);
    }
  });

  test("records of other routers count, also after a restart", () => {
    quarantine.observe([{ engine: "e1", keys: ["llm/bad"] }]);
    crash("e2", "bad");
    expect(remainingMs("bad")).toBe(MINUTE_MS);
    quarantine = create();
    quarantine.observe([
      { engine: "e1", keys: ["llm/bad"] },
      { engine: "e2", keys: ["llm/bad"] },
    ]);
    expect(remainingMs("bad")).toBe(MINUTE_MS);
  });

  test("what could not be written to the shared log is written later", async () => {
    let records: readonly CrashRecord[] = [];
    let failures = 2;
    const failing: CrashLog = {
      update: (change) => {
        failures -= 1;
        if (failures >= 0) return Promise.resolve(undefined);
        records = change(records) ?? records;
        return Promise.resolve(records);
      },
    };
    quarantine = create(() => failing);
    crash("e1", "bad");
    crash("e2", "bad");
    expect(remainingMs("bad")).toBe(MINUTE_MS);
    await sleep(400);
    expect(records.map((item) => item.engine)).toEqual(["e1", "e2"]);
  });

  test("survives the loss of the shared log and is written again", async () => {
    const records = [
      { engine: "e1", keys: ["llm/bad"] },
      { engine: "e2", keys: ["llm/bad"] },
    ];
    quarantine.observe(records);
    quarantine.handleLogRestored();
    quarantine.observe([]);
    expect(remainingMs("bad")).toBe(MINUTE_MS);
    await sleep(900);
    expect(await crashLog.update(() => undefined)).toEqual(records);
  });

  test("does not return with an old copy of the shared log", () => {
    const records = [
      { engine: "e1", keys: ["llm/part"] },
      { engine: "e2", keys: ["llm/part"] },
    ];
    quarantine.observe(records);
    clock.advance(10);
    quarantine.recordRun(prompt("part"));
    quarantine.observe([]);
    clock.advance(10);
    quarantine.handleLogRestored();
    quarantine.observe(records);
    expect(remainingMs("part")).toBe(0);
  });
});

// One exception ended the publishing of crashes until the router restarted.
test("BUDGET: crashes are published after an attempt that threw", async () => {
  let attempts = 0;
  const shared = crashLog;
  const failing = {
    update: (change: Parameters<CrashLog["update"]>[0]) => {
      attempts += 1;
      if (attempts === 1) throw new Error("no memory");
      return shared.update(change);
    },
  };
  quarantine = create(() => failing);
  crash("e1", "bad");
  const startMs = performance.now();
  while (attempts < 2 && performance.now() - startMs < 3_000) await sleep(10);
  await sleep(10);
  const records = await shared.update(() => undefined);
  expect(records?.map(({ engine }) => engine)).toEqual(["e1"]);
});
