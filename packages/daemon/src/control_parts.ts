/** Control plane of an entry process: configuration, relay, hosts, orders. */
import {
  type ChangeLog,
  createChangeLog,
  createConfigReplica,
  type MemoryReplica,
} from "@sassafrascleat/config";
import {
  createChangeLogFollower,
  createHostView,
  createOrderIssuer,
  createRelay,
  createStaticPeers,
  createStorePresence,
  mergePeerSources,
  type OrderIssuer,
  type Relay,
  type RunningHostView,
} from "@sassafrascleat/membership";
import type { EntryProcessOptions } from "./entry_process_options.ts";
import type { SidecarControlClient } from "./sidecar_control_client.ts";

/** The parts that don't depend on a bound address. */
export interface ControlParts {
  replica: MemoryReplica;
  changeLog: ChangeLog;
  hosts: RunningHostView;
}

/** Creates the parts without starting their background tasks. */
export function createControlParts(options: EntryProcessOptions): ControlParts {
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

/** Creates the relay that the system listener at `address` serves. */
export function createProcessRelay(
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
    changeLogFollower: createChangeLogFollower({
      store,
      changeLog: parts.changeLog,
    }),
    peers: mergePeerSources(presence, createStaticPeers(options.peers)),
    secret: options.systemSecrets[0],
    presence,
  });
}

/** Creates the order issuer; it is active only while the relay is the head. */
export function createIssuer(
  options: EntryProcessOptions,
  parts: ControlParts,
  relay: Relay,
  control: SidecarControlClient,
): OrderIssuer {
  return createOrderIssuer({
    config: parts.replica,
    hosts: parts.hosts,
    office: options.office,
    send: (server, req, signal) => control.order(server, req, signal),
    isActive: () => relay.isHead(),
  });
}
