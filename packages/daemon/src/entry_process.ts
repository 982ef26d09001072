/**
 * One entry process: configuration replica and relay, host view, and the
 * listener for callers. Requests never wait for a control-plane task.
 */
import type { ChangeLog, MemoryReplica } from "@sassafrascleat/config";
import { createEntry, type Entry } from "@sassafrascleat/entry";
import type {
  OrderIssuer,
  Relay,
  RunningHostView,
} from "@sassafrascleat/membership";
import { createPlacementPolicy } from "@sassafrascleat/routing";
import { deadlineSignal } from "@sassafrascleat/runtime";
import { randomUUID } from "node:crypto";
import {
  type ControlParts,
  createControlParts,
  createIssuer,
  createProcessRelay,
} from "./control_parts.ts";
import type { EntryProcessOptions } from "./entry_process_options.ts";
import {
  createOperatorListener,
  type OperatorListener,
} from "./operator_listener.ts";
import { collectStatus } from "./operator_status.ts";
import type { RunningDaemon } from "./running.ts";
import {
  createSidecarControlClient,
  type SidecarControlClient,
} from "./sidecar_control_client.ts";
import {
  createSystemListener,
  type SystemListener,
} from "./system_listener.ts";

/** A started entry process with the parts that operator calls use. */
export interface EntryProcess extends RunningDaemon {
  readonly availabilityZone: string;
  readonly entry: Entry;
  readonly relay: Relay;
  readonly changeLog: ChangeLog;
  readonly replica: MemoryReplica;
  readonly hosts: RunningHostView;
}

function createCallersEntry(
  options: EntryProcessOptions,
  parts: ControlParts,
): Promise<Entry> {
  return createEntry({
    entryId: `${options.id}-${randomUUID()}`,
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

/** Opens the operator listener. */
function openOperatorListener(
  options: EntryProcessOptions,
  parts: ControlParts & { relay: Relay; issuer: OrderIssuer },
  control: SidecarControlClient,
  signal: AbortSignal,
): Promise<OperatorListener> {
  const { id, office, availabilityZone } = options;
  const { changeLog, replica, hosts, relay, issuer } = parts;
  const sources = {
    id,
    office,
    availabilityZone,
    relay,
    hosts,
    issuer,
    control,
  };
  return createOperatorListener(options.operators, {
    changeLog,
    replica,
    secrets: options.operatorSecrets,
    status: () => collectStatus(sources),
    drain: async (name, leaving) => {
      const server = hosts.find(name);
      return server && await control.drain(server, leaving);
    },
    signal,
  });
}

/** Listeners of an entry process other than the listener for callers. */
interface ControlListeners {
  system: SystemListener;
  operators: OperatorListener;
}

class StartedEntry implements EntryProcess {
  readonly availabilityZone: string;
  readonly addresses: Record<string, string>;
  readonly entry: Entry;
  readonly relay: Relay;
  readonly changeLog: ChangeLog;
  readonly replica: MemoryReplica;
  readonly hosts: RunningHostView;
  readonly #listeners: ControlListeners;
  readonly #controller: AbortController;
  readonly #drainTimeoutMs: number;

  constructor(
    parts: ControlParts & { entry: Entry; relay: Relay },
    listeners: ControlListeners,
    controller: AbortController,
    options: EntryProcessOptions,
  ) {
    this.availabilityZone = options.availabilityZone;
    this.entry = parts.entry;
    this.relay = parts.relay;
    this.changeLog = parts.changeLog;
    this.replica = parts.replica;
    this.hosts = parts.hosts;
    this.#listeners = listeners;
    this.#controller = controller;
    this.#drainTimeoutMs = options.drainTimeoutMs;
    this.addresses = {
      callers: parts.entry.callersAddress,
      operators: listeners.operators.address,
      system: listeners.system.address,
    };
  }

  async drain(): Promise<void> {
    await this.entry.drain(deadlineSignal(this.#drainTimeoutMs));
    await this.close();
  }

  async close(): Promise<void> {
    await this.entry.close();
    this.#controller.abort();
    const { system, operators } = this.#listeners;
    await Promise.all([system.close(), operators.close()]);
  }
}

/** Starts an entry process; throws if a listener can't be opened. */
export async function startEntryProcess(
  options: EntryProcessOptions,
): Promise<EntryProcess> {
  const controller = new AbortController();
  const { signal } = controller;
  const parts = createControlParts(options);
  const system = await createSystemListener({
    ...options.system,
    secrets: options.systemSecrets,
  });
  const relay = createProcessRelay(options, parts, system.address);
  system.serve(relay.control);
  const control = createSidecarControlClient(options.systemSecrets[0]);
  const issuer = createIssuer(options, parts, relay, control);
  await parts.hosts.refresh(signal);
  void parts.hosts.run(signal);
  void relay.run(signal);
  void issuer.run(signal);
  const operatorParts = { ...parts, relay, issuer };
  const operators = await openOperatorListener(
    options,
    operatorParts,
    control,
    signal,
  );
  const entry = await createCallersEntry(options, parts);
  const startedParts = { ...parts, entry, relay };
  return new StartedEntry(
    startedParts,
    { system, operators },
    controller,
    options,
  );
}
