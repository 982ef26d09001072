/**
 * The fuzzed world: two entries, two prefill and two decode engines and two
 * plain services in one process, over real sockets, with a message box on
 * every link between an entry and a sidecar, and a stand-in store with faults.
 */
import { type EntryProcess, startEntryProcess } from "@sassafrascleat/daemon";
import { BackendRole } from "@sassafrascleat/protocol";
import { PolicyName } from "@sassafrascleat/routing";
import { invariant, Secret } from "@sassafrascleat/runtime";
import { createHttpStore } from "@sassafrascleat/store";
import {
  createStoreServer,
  NO_FAULTS,
  PlainFault,
  type StoreServer,
} from "@sassafrascleat/testing";
import { randomUUID } from "node:crypto";
import { until } from "../until.ts";
import type { Break } from "./breaks.ts";
import { createMessageBox, type MessageBox } from "./message_box.ts";
import { type FuzzNode, startFuzzNode } from "./node.ts";
import { seedWorldConfiguration } from "./world_config.ts";

const LISTEN = { host: "127.0.0.1", port: 0 };
const ROLES = [BackendRole.Prefill, BackendRole.Decode, BackendRole.Plain];

/** Time for one store call, in milliseconds. */
const STORE_TIMEOUT_MS = 300;

/** Longest wait for the configuration to be in force, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;

/** An entry with its boxes; a killed one has no process. */
export interface FuzzEntry {
  readonly index: number;
  readonly boxes: MessageBox[];
  process: EntryProcess | undefined;
  /** Address of the last process; calls fail while it is down. */
  address: string;
}

/** The world that one fuzz run acts on. */
export class World {
  readonly nodes: FuzzNode[];
  readonly store: StoreServer;
  readonly entries: FuzzEntry[];
  /** Secret of calls to sidecars. */
  readonly secret: Secret;
  /** Sequence of the world's last change of configuration. */
  readonly #sequence: number;
  #starts = 0;

  constructor(
    nodes: FuzzNode[],
    store: StoreServer,
    entries: FuzzEntry[],
    secret: Secret,
    sequence: number,
  ) {
    this.nodes = nodes;
    this.store = store;
    this.entries = entries;
    this.secret = secret;
    this.#sequence = sequence;
  }

  byRole(role: BackendRole): FuzzNode[] {
    return this.nodes.filter((node) => node.listed.role === role);
  }

  /** Starts an entry unless it runs; each start has a new entry id. */
  async startEntry(entry: FuzzEntry): Promise<void> {
    if (entry.process) return;
    for (const box of entry.boxes) box.heal();
    const hosts = this.nodes.map(({ listed }, i) => ({
      ...listed,
      sidecarAddress: entry.boxes[i]?.address ?? "",
    }));
    entry.process = await startEntryProcess({
      id: `entry-${entry.index}-${++this.#starts}`,
      office: "carolinas",
      availabilityZone: "gastonia",
      callers: LISTEN,
      operators: LISTEN,
      system: LISTEN,
      operatorSecrets: [this.secret],
      systemSecrets: [this.secret],
      store: createHttpStore({
        baseUrl: this.store.url,
        timeoutMs: STORE_TIMEOUT_MS,
      }),
      hostSource: { list: () => Promise.resolve(hosts) },
      peers: [],
      hostRefreshMs: 500,
      subsetSize: this.nodes.length,
      placement: PolicyName.JustInTime,
      drainTimeoutMs: 5_000,
    });
    entry.address = entry.process.entry.callersAddress;
  }

  /** Ends an entry at once: nothing that it sends afterwards arrives. */
  async killEntry(entry: FuzzEntry): Promise<void> {
    const { process } = entry;
    if (!process) return;
    entry.process = undefined;
    for (const box of entry.boxes) box.setFaults({ cut: true });
    await process.close();
  }

  /** Waits until every entry that runs has the configuration in force. */
  async ready(): Promise<void> {
    const running = () => this.entries.flatMap(({ process }) => process ?? []);
    const ready = await until(
      () => running().every((it) => it.replica.sequence >= this.#sequence),
      READY_TIMEOUT_MS,
    );
    invariant(ready, "an entry did not get the world's configuration");
  }

  /** Takes all faults back and starts what is down. */
  async heal(): Promise<void> {
    this.store.setFaults(NO_FAULTS);
    for (const node of this.nodes) {
      node.engine?.setFaults({ dead: false, stallTransfers: false });
      node.plain?.setFault(PlainFault.None);
      await node.start();
    }
    for (const entry of this.entries) {
      await this.startEntry(entry);
      for (const box of entry.boxes) box.heal();
    }
    await this.ready();
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.process?.close()));
    const boxes = this.entries.flatMap((entry) => entry.boxes);
    await Promise.all(boxes.map((box) => box.close()));
    await Promise.all(this.nodes.map((node) => node.close()));
    await this.store.close();
  }
}

async function createEntry(
  index: number,
  nodes: readonly FuzzNode[],
  rule: Break | undefined,
): Promise<FuzzEntry> {
  const boxes = await Promise.all(
    nodes.map((node) => createMessageBox(() => node.address, rule)),
  );
  return { index, boxes, process: undefined, address: "" };
}

/** Starts a world; `rule` is a rule of the product that is broken in it. */
export async function startWorld(rule: Break | undefined): Promise<World> {
  const secret = new Secret("fuzz", randomUUID());
  const plans = ["gastonia", "kannapolis"].flatMap((zone, i) =>
    ROLES.map((role) => ({ name: `${role}-${i}`, role, zone }))
  );
  const nodes = await Promise.all(
    plans.map((plan) =>
      startFuzzNode(plan.name, plan.role, plan.zone, secret, rule)
    ),
  );
  const store = await createStoreServer({});
  const sequence = await seedWorldConfiguration(store);
  const entries = await Promise.all(
    [0, 1].map((index) => createEntry(index, nodes, rule)),
  );
  const world = new World(nodes, store, entries, secret, sequence);
  for (const entry of entries) await world.startEntry(entry);
  await world.ready();
  return world;
}
