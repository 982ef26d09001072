/** Tests the configuration relay with failed heads, partitions and store outages. */
import { afterEach, describe, expect, jest, test } from "@jest/globals";
import { createMemoryStore } from "@sassafrascleat/store";
import { createStorePresence, type RelayStatus, Staleness } from "../index.ts";
import {
  createTestDaemon,
  eventually,
  FakeChangeLog,
  ListenerMode,
  LocalPeerClient,
  MutablePeerSource,
  type TestDaemon,
  type TestDaemonOptions,
} from "./relay_harness.ts";

type StartableDaemon = TestDaemon & { start(): void };

const running: TestDaemon[] = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map((daemon) => daemon.stop()));
  jest.useRealTimers();
});

interface Fleet {
  log: FakeChangeLog;
  peers: MutablePeerSource;
  daemons: StartableDaemon[];
}

/** Starts `perZone` daemons in each zone: two offices with two zones each. */
async function startFleet(
  perZone: number,
  relay: TestDaemonOptions["relay"] = {},
): Promise<Fleet> {
  const log = new FakeChangeLog();
  const peers = new MutablePeerSource();
  const daemons: StartableDaemon[] = [];
  for (const office of ["north", "south"]) {
    for (const zone of ["a", "b"]) {
      for (let index = 0; index < perZone; index++) {
        daemons.push(
          await createTestDaemon({
            daemonId: `${office}-${zone}-${index}`,
            office,
            availabilityZone: zone,
            log,
            peers,
            relay,
          }),
        );
      }
    }
  }
  peers.list = daemons.map((daemon) => daemon.peer);
  running.push(...daemons);
  for (const daemon of daemons) daemon.start();
  return { log, peers, daemons };
}

const allAtSequence =
  (daemons: readonly StartableDaemon[], sequence: number) => () =>
    daemons.every((daemon) => daemon.replica.sequence === sequence);

const daemonsInZone = (fleet: Fleet, office: string, zone: string) =>
  fleet.daemons.filter((daemon) =>
    daemon.peer.office === office && daemon.peer.availabilityZone === zone
  );

describe("relay", () => {
  test("applies a change on every daemon, with two heads per zone", async () => {
    const fleet = await startFleet(4);
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 1));
    for (let index = 0; index < 10; index++) fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 11));
    const heads = () => fleet.daemons.filter((d) => d.relay.isHead());
    await eventually(() => heads().length === 8);
    for (const { replica } of fleet.daemons) {
      expect(replica.applied).toEqual(
        [...replica.applied].sort((a, b) => a - b),
      );
    }
  });

  test("skips heads that stop answering on open connections", async () => {
    const fleet = await startFleet(4);
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 1));
    const zone = daemonsInZone(fleet, "north", "a");
    for (const daemon of zone) {
      if (daemon.relay.isHead()) daemon.listener = ListenerMode.Silent;
    }
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 2));
    await eventually(() =>
      zone.some((daemon) =>
        daemon.listener === ListenerMode.Answers && daemon.relay.isHead()
      )
    );
  });

  test("replaces heads that have stopped", async () => {
    const fleet = await startFleet(4);
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 1));
    const zone = daemonsInZone(fleet, "south", "b");
    const heads = zone.filter((daemon) => daemon.relay.isHead());
    expect(heads).toHaveLength(2);
    await Promise.all(heads.map((daemon) => daemon.stop()));
    fleet.log.append();
    const others = fleet.daemons.filter((daemon) => !heads.includes(daemon));
    await eventually(allAtSequence(others, 2));
  });

  test("offices that cannot reach each other stay up to date independently", async () => {
    const fleet = await startFleet(2);
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 1));
    const north = fleet.daemons.filter((d) => d.peer.office === "north");
    const south = fleet.daemons.filter((d) => d.peer.office === "south");
    fleet.peers.list = north.map((daemon) => daemon.peer);
    for (const daemon of south) daemon.listener = ListenerMode.Silent;
    fleet.log.append();
    await eventually(allAtSequence(north, 2));
    await eventually(allAtSequence(south, 2));
  });
});

describe("a store outage", () => {
  test.each([7, 60])(
    "of %i s costs heads a bounded number of store calls and other daemons at most one per 9 s",
    async (seconds) => {
      jest.useFakeTimers({ doNotFake: ["nextTick", "setImmediate"] });
      const client = new LocalPeerClient();
      const { daemons, log } = await startFleet(6, { client });
      daemons.forEach((daemon) => client.add(daemon));
      log.append();
      await jest.advanceTimersByTimeAsync(5_000);
      expect(allAtSequence(daemons, 1)()).toBe(true);
      const heads = daemons.filter((it) => it.relay.isHead());
      expect(heads).toHaveLength(8);
      log.available = false;
      log.calls.clear();
      await jest.advanceTimersByTimeAsync(seconds * 1_000);
      for (const daemon of daemons) {
        const isHead = heads.includes(daemon);
        const calls = log.callsOf(daemon.peer.daemonId);
        const bound = isHead ? 5 + seconds : Math.floor(seconds / 9);
        expect(calls).toBeLessThanOrEqual(bound);
        expect(calls).toBeGreaterThanOrEqual(isHead ? 4 : 0);
        expect(daemon.relay.isHead()).toBe(isHead);
      }
      log.append();
      log.available = true;
      await jest.advanceTimersByTimeAsync(5_000);
      expect(allAtSequence(daemons, 2)()).toBe(true);
    },
  );

  test("a daemon starts from its peers and is confirmed by a majority of its zone", async () => {
    const fleet = await startFleet(3);
    fleet.log.append();
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 2));
    await eventually(() =>
      fleet.daemons.every((d) => d.relay.staleness() === Staleness.Current)
    );
    fleet.log.available = false;
    const late = await createTestDaemon({
      daemonId: "north-a-late",
      log: fleet.log,
      peers: fleet.peers,
    });
    running.push(late);
    late.start();
    await eventually(() => late.replica.sequence === 2);
    await eventually(() => late.relay.staleness() !== Staleness.PossiblyStale);
  });

  test("a daemon that can reach only one stale peer reports possibly stale", async () => {
    const peers = new MutablePeerSource();
    const log = new FakeChangeLog();
    const stale = await createTestDaemon({ daemonId: "stale", log, peers });
    running.push(stale);
    log.append();
    stale.start();
    await eventually(() => stale.replica.sequence === 1);
    log.append();
    log.available = false;
    log.length = 5;
    const late = await createTestDaemon({
      daemonId: "late",
      log,
      peers,
    });
    running.push(late);
    peers.list = [stale.peer];
    late.start();
    await eventually(() => late.replica.sequence >= 1);
    await eventually(() => stale.pulls >= 15);
    expect(late.relay.staleness()).toBe(Staleness.PossiblyStale);
    log.available = true;
    await eventually(() => late.replica.sequence === 5);
  });
});

describe("a head that was paused", () => {
  test("answers with its old state and does not move other daemons back", async () => {
    const fleet = await startFleet(3);
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 1));
    const zone = daemonsInZone(fleet, "north", "a");
    const paused = zone.find((daemon) => daemon.relay.isHead())!;
    const control = paused.relay.control;
    const before = await control.pull({
      ...paused.peer,
      afterSequence: 0,
      waitMs: 0,
      reports: [],
    });
    for (let index = 0; index < 5; index++) fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 6));
    Object.assign(control, { pull: () => Promise.resolve(before) });
    fleet.log.append();
    await eventually(allAtSequence(fleet.daemons, 7));
    for (const { replica } of fleet.daemons) {
      expect(replica.applied).toEqual([...new Set(replica.applied)].sort());
    }
  });
});

describe("presence in the store", () => {
  test("lets daemons without configured peers discover each other and summarizes all zones", async () => {
    const store = createMemoryStore();
    const log = new FakeChangeLog();
    const daemons: StartableDaemon[] = [];
    for (const zone of ["a", "a", "a", "b", "b"]) {
      const daemonId = `north-${zone}-${daemons.length}`;
      const presence = createStorePresence({
        store,
        daemonId,
        office: "north",
        availabilityZone: zone,
        writeMs: 20,
        readMs: 50,
      });
      daemons.push(
        await createTestDaemon({
          daemonId,
          availabilityZone: zone,
          log,
          peers: presence,
          relay: { presence, headsPerZone: 1 },
        }),
      );
    }
    running.push(...daemons);
    for (const daemon of daemons) daemon.start();
    log.append();
    await eventually(allAtSequence(daemons, 1));
    const heads = () => daemons.filter((daemon) => daemon.relay.isHead());
    await eventually(() => heads().length === 2);
    const zones = await eventualStatus(
      daemons[0]!,
      (status) =>
        status.byOffice[0]?.zones.every((zone) => zone.lagging === 0) &&
        status.byOffice[0]?.zones.map((zone) => zone.daemons).join() === "3,2",
    );
    expect(zones.complete).toBe(true);
    expect(zones.sequence).toBe(1);
  });
});

async function eventualStatus(
  daemon: StartableDaemon,
  condition: (status: RelayStatus) => boolean | undefined,
): Promise<RelayStatus> {
  const signal = AbortSignal.timeout(15_000);
  while (!signal.aborted) {
    const status = await daemon.relay.relayStatus(signal);
    if (condition(status)) return status;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error("relay status did not reach the expected state in time");
}
