/** Shared utilities. */
import { describe, expect, test } from "@jest/globals";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createRandom,
  deadlineSignal,
  formatEvent,
  keepRunning,
  Mailbox,
  matchSecret,
  MAX_TIMER_MS,
  rankCandidates,
  Secret,
  sleep,
} from "../index.ts";

describe("formatEvent", () => {
  test("quotes values that would break a key=value line", () => {
    expect(formatEvent("done", { id: "a", note: "two words", none: undefined }))
      .toBe('event=done id=a note="two words"');
  });
});

describe("matchSecret", () => {
  const accepted = [new Secret("old", "s1"), new Secret("new", "s2")];

  test("accepts either of two secrets and returns the one that matched", () => {
    expect(matchSecret("s1", accepted)?.name).toBe("old");
    expect(matchSecret("s2", accepted)?.name).toBe("new");
  });

  test("rejects a wrong, an empty and a missing secret", () => {
    expect(matchSecret("s3", accepted)).toBeUndefined();
    expect(matchSecret("", [new Secret("empty", "")])).toBeUndefined();
    expect(matchSecret(undefined, accepted)).toBeUndefined();
  });

  test("never prints the value", () => {
    expect(JSON.stringify(accepted) + String(accepted[0])).not.toMatch(/s1|s2/);
  });
});

describe("rankCandidates", () => {
  test("removing a candidate reassigns only the keys that it ranked first for", () => {
    const candidates = ["a", "b", "c", "d"];
    const keys = Array.from({ length: 200 }, (_, i) => `key${i}`);
    const winner = (key: string, from: string[]) =>
      rankCandidates(key, from, (candidate) => candidate)[0];
    const remaining = candidates.filter((candidate) => candidate !== "c");
    const moved = keys.filter((key) =>
      winner(key, candidates) !== winner(key, remaining)
    );
    expect(moved).toEqual(
      keys.filter((key) => winner(key, candidates) === "c"),
    );
    expect(moved.length).toBeGreaterThan(0);
  });
});

test("createRandom repeats its sequence", () => {
  const draw = (seed: number) => {
    const random = createRandom(seed);
    return [random.float(), random.int(1, 6), random.float()];
  };
  expect(draw(7)).toEqual(draw(7));
  expect(draw(7)).not.toEqual(draw(8));
});

test("Mailbox rejects messages when full and returns them in order", async () => {
  const mailbox = new Mailbox<number>(2);
  const signal = new AbortController().signal;
  expect([mailbox.post(1), mailbox.post(2), mailbox.post(3)])
    .toEqual([true, true, false]);
  expect(await mailbox.takeAll(signal)).toEqual([1, 2]);
});

test("sleep resolves when its signal aborts", async () => {
  const controller = new AbortController();
  const wait = sleep(60_000, controller.signal);
  controller.abort();
  await wait;
  expect(controller.signal.aborted).toBe(true);
});

describe("deadlineSignal", () => {
  test("fires after garbage collection when only a listener refers to it", async () => {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    let fired = 0;
    const arm = () => {
      const parent = new AbortController();
      deadlineSignal(30, deadlineSignal(60_000, parent.signal))
        .addEventListener("abort", () => fired++);
    };
    for (let i = 0; i < 50; i++) arm();
    collect();
    await sleep(60);
    collect();
    await sleep(60);
    expect(fired).toBe(50);
  });

  test("aborts with its parent", () => {
    const parent = new AbortController();
    const signal = deadlineSignal(60_000, parent.signal);
    parent.abort();
    expect(signal.aborted).toBe(true);
  });
});

// Timers fire after 1 ms if their delay is longer than they can have.
test.each([MAX_TIMER_MS + 1, 1e300, Infinity])(
  "sleep(%d) waits",
  async (ms) => {
    const end = new AbortController();
    const sleeping = sleep(ms, end.signal).then(() => "slept");
    expect(await Promise.race([sleeping, sleep(20).then(() => "waits")])).toBe(
      "waits",
    );
    end.abort();
    await sleeping;
  },
);

test("a task that throws is logged and runs again", async () => {
  const end = new AbortController();
  const events: string[] = [];
  let runs = 0;
  const run = () => {
    runs += 1;
    return runs === 1 ? Promise.reject(new Error("odd")) : Promise.resolve();
  };
  const log = (event: string) => events.push(event);
  await keepRunning({ name: "task", log, signal: end.signal, run });
  expect([runs, events]).toEqual([2, ["task_failed"]]);
});
