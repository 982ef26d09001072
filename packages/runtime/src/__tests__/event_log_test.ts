import { expect, test } from "@jest/globals";
import { execFileSync } from "node:child_process";
import {
  constants,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createEventLog } from "../event_log.ts";
import { sleep } from "../wait.ts";

async function collectLines(
  writeEvents: (log: ReturnType<typeof createEventLog>) => Promise<void> | void,
  linesPerSecond?: number,
): Promise<string[]> {
  const directory = mkdtempSync(join(tmpdir(), "event-log-"));
  const path = join(directory, "log");
  const log = createEventLog({
    fd: openSync(path, "w"),
    linesPerSecond,
    base: { node: "n1" },
  });
  await writeEvents(log);
  log.close();
  await sleep(50);
  const lines = readFileSync(path, "utf8").trim().split("\n");
  rmSync(directory, { recursive: true });
  return lines;
}

test("a line contains the time, the event and its fields", async () => {
  const lines = await collectLines(({ log }) => {
    log("refused", {
      req: "r1",
      reason: "no room",
      back_ms: 40,
      none: undefined,
    });
  });
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatch(
    /^time=\S+ event=refused node=n1 req=r1 reason="no room" back_ms=40$/,
  );
});

test("each kind of event has its own limit, and suppressed lines are reported", async () => {
  const lines = await collectLines(async (events) => {
    for (let i = 0; i < 50; i += 1) events.log("noisy", { i });
    events.log("rare");
    expect(events.suppressed).toBe(40);
    await sleep(1_050);
    events.log("noisy", { i: 50 });
  }, 10);
  expect(lines.filter((line) => line.includes("event=noisy"))).toHaveLength(11);
  expect(lines.filter((line) => line.includes("event=rare"))).toHaveLength(1);
  expect(lines.join("\n")).toContain(
    "event=log_suppressed node=n1 of=noisy lines=40",
  );
});

test("a long value is shortened, and no line is lost for it", async () => {
  const lines = await collectLines((events) => {
    events.log("before");
    events.log("odd", {
      name: "x".repeat(500_000),
      message: "a ".repeat(9_000),
    });
    events.log("after");
    expect(events.suppressed).toBe(0);
  });
  expect(lines).toHaveLength(3);
  // A write may be under way when the log is closed, and ends after later lines.
  const odd = lines.find((line) => line.includes("event=odd"));
  expect(odd).toMatch(/ name=x{1000}… message="(a ){500}…"$/);
});

const LONG = "x".repeat(900);

// The rest was written in a blocking way, to a pipe that may never have room.
test("FAULT: a log that nobody reads doesn't keep a process from its exit", async () => {
  const directory = mkdtempSync(join(tmpdir(), "event-log-"));
  const path = join(directory, "pipe");
  execFileSync("mkfifo", [path]);
  const fd = openSync(path, constants.O_RDWR);
  const log = createEventLog({ fd, linesPerSecond: 1_000 });
  for (let i = 0; i < 250; i += 1) log.log("unread", { LONG });
  await sleep(100);
  log.close();
  rmSync(directory, { recursive: true });
});
