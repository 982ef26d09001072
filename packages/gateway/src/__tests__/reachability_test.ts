import { afterEach, expect, test } from "@jest/globals";
import { createRandom, sleep, systemClock } from "@sassafrascleat/runtime";
import { ReachabilityMonitor } from "../reachability.ts";

let stop = new AbortController();
afterEach(() => {
  stop.abort();
  stop = new AbortController();
});

function start(intervalMs: number) {
  const service = { reachable: true, probes: 0 };
  const monitor = new ReachabilityMonitor({
    clock: systemClock,
    random: createRandom(1),
    probe: () => {
      service.probes += 1;
      return Promise.resolve(service.reachable);
    },
    intervalMs,
    retryMs: 40,
  });
  void monitor.run(stop.signal);
  return { monitor, service };
}

test("an outage that no call noticed is found within the interval", async () => {
  const { monitor, service } = start(60);
  const { lost } = monitor;
  await sleep(100);
  expect(lost.aborted).toBe(false);
  service.reachable = false;
  await sleep(150);
  expect(lost.aborted).toBe(true);
});

test("a failed call is followed by a probe at once", async () => {
  const { monitor, service } = start(60_000);
  service.reachable = false;
  await sleep(20);
  expect(service.probes).toBe(0);
  monitor.suspect();
  await sleep(20);
  expect(monitor.lost.aborted).toBe(true);
});

test("calls that have responses make probes needless", async () => {
  const { monitor, service } = start(100);
  for (let i = 0; i < 12; i += 1) {
    monitor.responded();
    await sleep(30);
  }
  expect(service.probes).toBe(0);
});

test("waiting calls resume when the service is back, each outage has its own signal", async () => {
  const { monitor, service } = start(60_000);
  await monitor.untilReachable(stop.signal);
  service.reachable = false;
  monitor.suspect();
  await sleep(20);
  const { lost } = monitor;
  let resumed = false;
  const waiting = monitor.untilReachable(stop.signal).then(() => {
    resumed = true;
  });
  await sleep(100);
  expect(resumed).toBe(false);
  service.reachable = true;
  await waiting;
  expect(monitor.lost).not.toBe(lost);
  expect(monitor.lost.aborted).toBe(false);
});

test("when the monitor stops, waiting calls end", async () => {
  const { monitor, service } = start(60_000);
  service.reachable = false;
  monitor.suspect();
  await sleep(20);
  const waiting = monitor.untilReachable(stop.signal);
  stop.abort();
  await waiting;
  await sleep(80);
  expect(monitor.lost.aborted).toBe(true);
});
