/**
 * One entry process: configuration replica and relay, host view, and the
 * callers' listener. Requests wait for none of the control tasks.
 */
import {
  type ChangeLog,
  createChangeLog,
  createConfigReplica,
  type MemoryReplica,
} from "@sassafrascleat/config";
import { createEntry, type Entry } from "@sassafrascleat/entry";
import {
  createHostView,
  createRelay,
  createStaticPeers,
  createStorePresence,
  type HostSource,
  joinPeerSources,
  type Relay,
  type RelayPeer,
  type RunningHostView,
} from "@sassafrascleat/membership";
import {
  createPlacementPolicy,
  type PolicyName,
} from "@sassafrascleat/routing";
import type { Secret } from "@sassafrascleat/runtime";
import type { ObjectStore } from "@sassafrascleat/store";
import { createLogFollower } from "./log_follower.ts";
import type { RunningDaemon } from "./running.ts";
import {
  createSystemListener,
  type SystemListener,
} from "./system_listener.ts";

/** An address to bind. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Everything that an entry process is made of. */
export interface EntryProcessOptions {
  id: string;
  office: string;
  availabilityZone: string;
  callers: ListenAddress;
  system: ListenAddress;
  /** The first is sent, all are accepted. */
  systemSecrets: readonly [Secret, ...Secret[]];
  store: ObjectStore;
  hostSource: HostSource;
  peers: readonly RelayPeer[];
  hostRefreshMs: number;
  subsetSize: number;
  placement: PolicyName;
  drainTimeoutMs: number;
}

/** A started entry process and the parts that operators' calls use. */
export interface EntryProcess extends RunningDaemon {
  readonly availabilityZone: string;
  readonly entry: Entry;
  readonly relay: Relay;
  readonly changeLog: ChangeLog;
  readonly replica: MemoryReplica;
  readonly hosts: RunningHostView;
}

/** The parts that don't depend on a bound address. */
interface ControlParts {
  replica: MemoryReplica;
  changeLog: ChangeLog;
  hosts: RunningHostView;
}

function createControlParts(options: EntryProcessOptions): ControlParts {
  const replica = createConfigReplica();
  const { store, office, availabilityZone } = options;
  const changeLog = createChangeLog({
    store,
    replica,
    office,
    writer: options.id,
  });
  const hosts = createHostView({
    source: options.hostSource,
    office,
    availabilityZone,
    entryId: options.id,
    subsetSize: options.subsetSize,
    refreshMs: options.hostRefreshMs,
  });
  return { replica, changeLog, hosts };
}

function createProcessRelay(
  options: EntryProcessOptions,
  parts: ControlParts,
  address: string,
): Relay {
  const { id: daemonId, office, availabilityZone, store } = options;
  const presence = createStorePresence({
    store,
    daemonId,
    office,
    availabilityZone,
  });
  return createRelay({
    daemonId,
    office,
    availabilityZone,
    address,
    replica: parts.replica,
    changeLogFollower: createLogFollower({ store, ...parts }),
    peers: joinPeerSources(presence, createStaticPeers(options.peers)),
    secret: options.systemSecrets[0],
    presence,
  });
}

function createCallersEntry(
  options: EntryProcessOptions,
  parts: ControlParts,
): Promise<Entry> {
  return createEntry({
    entryId: options.id,
    office: options.office,
    availabilityZone: options.availabilityZone,
    host: options.callers.host,
    port: options.callers.port,
    secret: options.systemSecrets[0],
    config: parts.replica,
    hosts: parts.hosts,
    store: options.store,
    placement: (policy) =>
      createPlacementPolicy(options.placement, { objective: policy.objective }),
  });
}

class StartedEntry implements EntryProcess {
  readonly availabilityZone: string;
  readonly addresses: Record<string, string>;
  readonly entry: Entry;
  readonly relay: Relay;
  readonly changeLog: ChangeLog;
  readonly replica: MemoryReplica;
  readonly hosts: RunningHostView;
  readonly #listener: SystemListener;
  readonly #controller: AbortController;
  readonly #drainTimeoutMs: number;

  constructor(
    parts: ControlParts & { entry: Entry; relay: Relay },
    listener: SystemListener,
    controller: AbortController,
    options: EntryProcessOptions,
  ) {
    this.availabilityZone = options.availabilityZone;
    this.entry = parts.entry;
    this.relay = parts.relay;
    this.changeLog = parts.changeLog;
    this.replica = parts.replica;
    this.hosts = parts.hosts;
    this.#listener = listener;
    this.#controller = controller;
    this.#drainTimeoutMs = options.drainTimeoutMs;
    this.addresses = {
      callers: parts.entry.callersAddress,
      system: listener.address,
    };
  }

  async drain(): Promise<void> {
    await this.entry.drain(AbortSignal.timeout(this.#drainTimeoutMs));
    await this.close();
  }

  async close(): Promise<void> {
    await this.entry.close();
    this.#controller.abort();
    await this.#listener.close();
  }
}

/** Starts an entry process; throws when a listener can't be opened. */
export async function startEntryProcess(
  options: EntryProcessOptions,
): Promise<EntryProcess> {
  const controller = new AbortController();
  const parts = createControlParts(options);
  const listener = await createSystemListener({
    ...options.system,
    secrets: options.systemSecrets,
  });
  const relay = createProcessRelay(options, parts, listener.address);
  listener.serve(relay.control);
  await parts.hosts.refresh(controller.signal);
  void parts.hosts.run(controller.signal);
  void relay.run(controller.signal);
  const entry = await createCallersEntry(options, parts);
  const all = { ...parts, entry, relay };
  return new StartedEntry(all, listener, controller, options);
}
