/**
 * Deployment under fuzzing: two entries, two prefill engines, two decode
 * engines and two servers of one plain service in one process, connected by real
 * sockets. Every link between an entry and a sidecar passes through a message
 * proxy, and the store is simulated and can inject faults.
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
import type { ActiveMutation } from "./mutations.ts";
import { createMessageProxy, type MessageProxy } from "./message_proxy.ts";
import { type FuzzBackend, startFuzzBackend } from "./fuzz_backend.ts";
import { seedConfiguration } from "./deployment_config.ts";

const LISTEN = { host: "127.0.0.1", port: 0 };
const ROLES = [BackendRole.Prefill, BackendRole.Decode, BackendRole.Plain];

/** Timeout of a store call, in milliseconds. */
const STORE_TIMEOUT_MS = 300;

/** Timeout for the configuration to take effect, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;

/** An entry with its message proxies; a killed entry has no process. */
export interface FuzzEntry {
  readonly index: number;
  readonly proxies: MessageProxy[];
  process: EntryProcess | undefined;
  /** Address of the most recent process; calls fail while the entry is down. */
  address: string;
}

/** The deployment that one fuzz run acts on. */
export class FuzzDeployment {
  readonly backends: FuzzBackend[];
  readonly store: StoreServer;
  readonly entries: FuzzEntry[];
  /** Secret that authenticates calls to sidecars. */
  readonly secret: Secret;
  /** Sequence number of the last configuration change. */
  readonly #sequence: number;
  #startCount = 0;

  constructor(
    backends: FuzzBackend[],
    store: StoreServer,
    entries: FuzzEntry[],
    secret: Secret,
    sequence: number,
  ) {
    this.backends = backends;
    this.store = store;
    this.entries = entries;
    this.secret = secret;
    this.#sequence = sequence;
  }

  byRole(role: BackendRole): FuzzBackend[] {
    return this.backends.filter((backend) => backend.listed.role === role);
  }

  /** Starts an entry unless it is running; each start uses a new entry id. */
  async startEntry(entry: FuzzEntry): Promise<void> {
    if (entry.process) return;
    for (const proxy of entry.proxies) proxy.heal();
    const hosts = this.backends.map(({ listed }, i) => ({
      ...listed,
      sidecarAddress: entry.proxies[i]?.address ?? "",
    }));
    entry.process = await startEntryProcess({
      id: `entry-${entry.index}-${++this.#startCount}`,
      // An office is the part of a deployment that owns its pools.
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
      subsetSize: this.backends.length,
      placement: PolicyName.JustInTime,
      drainTimeoutMs: 5_000,
    });
    entry.address = entry.process.entry.callersAddress;
  }

  /**
   * Kills an entry. Its links are cut first, so that nothing that it sends while
   * closing arrives.
   */
  async killEntry(entry: FuzzEntry): Promise<void> {
    const { process } = entry;
    if (!process) return;
    entry.process = undefined;
    for (const proxy of entry.proxies) proxy.setFaults({ cut: true });
    await process.close();
  }

  /** Waits until every running entry has applied the configuration. */
  async ready(): Promise<void> {
    const running = () => this.entries.flatMap(({ process }) => process ?? []);
    const ready = await until(
      () => running().every((it) => it.replica.sequence >= this.#sequence),
      READY_TIMEOUT_MS,
    );
    const sequences = running().map((it) => it.replica.sequence);
    invariant(
      ready,
      "an entry did not receive the deployment's configuration: " +
        `sequences ${sequences} of ${this.#sequence}`,
    );
  }

  /** Clears all faults and starts every process that is down. */
  async heal(): Promise<void> {
    this.store.setFaults(NO_FAULTS);
    for (const backend of this.backends) {
      backend.engine?.setFaults({ dead: false, stallTransfers: false });
      backend.plain?.setFault(PlainFault.None);
      await backend.startSidecar();
    }
    for (const entry of this.entries) {
      await this.startEntry(entry);
      for (const proxy of entry.proxies) proxy.heal();
    }
    await this.ready();
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.process?.close()));
    const proxies = this.entries.flatMap((entry) => entry.proxies);
    await Promise.all(proxies.map((proxy) => proxy.close()));
    await Promise.all(this.backends.map((backend) => backend.close()));
    await this.store.close();
  }
}

async function createEntry(
  index: number,
  backends: readonly FuzzBackend[],
  mutation: ActiveMutation | undefined,
): Promise<FuzzEntry> {
  const proxies = await Promise.all(
    backends.map((backend) =>
      createMessageProxy(() => backend.address, mutation)
    ),
  );
  return { index, proxies, process: undefined, address: "" };
}

/**
 * Starts a deployment. `mutation` deliberately breaks a rule of the product, to
 * test whether the fuzzer detects that; undefined for the product as it is.
 */
export async function startFuzzDeployment(
  mutation: ActiveMutation | undefined,
): Promise<FuzzDeployment> {
  const secret = new Secret("fuzz", randomUUID());
  const plans = ["gastonia", "kannapolis"].flatMap((zone, i) =>
    ROLES.map((role) => ({ name: `${role}-${i}`, role, zone }))
  );
  const backends = await Promise.all(
    plans.map((plan) =>
      startFuzzBackend(plan.name, plan.role, plan.zone, secret, mutation)
    ),
  );
  const store = await createStoreServer({});
  const sequence = await seedConfiguration(store);
  const entries = await Promise.all(
    [0, 1].map((index) => createEntry(index, backends, mutation)),
  );
  const deployment = new FuzzDeployment(
    backends,
    store,
    entries,
    secret,
    sequence,
  );
  for (const entry of entries) await deployment.startEntry(entry);
  await deployment.ready();
  return deployment;
}
