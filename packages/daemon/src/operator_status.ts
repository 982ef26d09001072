/** The status document that operators read. */
import { deadlineSignal } from "@sassafrascleat/runtime";
import type {
  HostView,
  OrderIssuer,
  PoolProgress,
  Relay,
  RelayStatus,
} from "@sassafrascleat/membership";
import type { BackendServer, LoadHint } from "@sassafrascleat/protocol";
import { MAX_STATUS_CALLS, STATUS_TIMEOUT_MS } from "./constants.ts";
import type { SidecarControlClient } from "./sidecar_control_client.ts";

/** One backend server as seen by the entry that serves the status call. */
export interface BackendStatus {
  name: string;
  pool: string;
  role: string;
  availabilityZone: string;
  /** State in the host list, or `leaving` if the sidecar reports it. */
  state: string;
  /** False when the sidecar did not answer or was not asked. */
  answered: boolean;
  inFlight?: number;
  hint?: LoadHint;
}

/** The answer to `sassafrascleat status`. */
export interface OperatorStatus {
  daemon: { id: string; office: string; availabilityZone: string };
  /** Sequence in force by office and availability zone. */
  configuration: RelayStatus;
  backendServers: BackendStatus[];
  /** Progress by pool of the orders that apply the configuration to engines. */
  orders: PoolProgress[];
}

/** Parts that the status is collected from. */
export interface StatusSources {
  id: string;
  office: string;
  availabilityZone: string;
  relay: Relay;
  hosts: HostView;
  issuer: OrderIssuer;
  control: SidecarControlClient;
}

async function describeBackend(
  server: BackendServer,
  control: SidecarControlClient | undefined,
): Promise<BackendStatus> {
  const { name, pool, role, availabilityZone, state } = server;
  const listed = { name, pool, role, availabilityZone, state };
  const status = await control?.status(server);
  if (!status) return { ...listed, answered: false };
  const { inFlight, hint, leaving } = status;
  return {
    ...listed,
    state: leaving ? "leaving" : state,
    answered: true,
    inFlight,
    hint,
  };
}

/** Collects the status; backend servers without a reply are marked as such. */
export async function collectStatus(
  sources: StatusSources,
): Promise<OperatorStatus> {
  const { id, office, availabilityZone } = sources;
  const signal = deadlineSignal(STATUS_TIMEOUT_MS);
  const [configuration, backendServers] = await Promise.all([
    sources.relay.relayStatus(signal),
    Promise.all(
      sources.hosts.all().map((server, index) =>
        describeBackend(
          server,
          index < MAX_STATUS_CALLS ? sources.control : undefined,
        )
      ),
    ),
  ]);
  return {
    daemon: { id, office, availabilityZone },
    configuration,
    backendServers,
    orders: sources.issuer.progress(),
  };
}
