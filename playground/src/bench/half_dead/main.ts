/**
 * `npm run bench -- half-dead`: starts daemon processes and kills one of the two
 * sidecars of each pool. A listener on the port of the killed sidecar counts
 * requests and closes their connections. Prints one line of JSON, with averages
 * per request: dispatches (reservations, prefills, starts and calls, to live and
 * dead sidecars) and cancels sent to dead sidecars. The exit status is 1 if a
 * request failed.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { once } from "node:events";
import { createServer } from "node:http";
import { callModel } from "../../caller/model_caller.ts";
import { callPlain } from "../../caller/plain_caller.ts";
import {
  type Rig,
  RIG_MODEL,
  RIG_PLAIN_SERVICE,
  type RigBackend,
  startRig,
} from "../../rig/index.ts";

const REQUESTS = 200;

/** Number of concurrent requests. */
const CONCURRENT = 8;

const GRANTED_PATTERN =
  /^sassafrascleat_sidecar_reservations_total\{result="granted"\} (\d+)/m;
const PREFILLED_PATTERN =
  /^sassafrascleat_sidecar_prefills_total\{result="done"\} (\d+)/m;

/** Last path segments of the requests that dispatch work. */
const DISPATCH_OPERATIONS = ["reserve", "prefill", "start", "call"];

/** Messages that the sidecars of one role received. */
interface SidecarTraffic {
  /** Dispatches that live sidecars accepted. */
  accepted: number;
  /** Dispatches sent to dead sidecars. */
  sentToDead: number;
  /** Cancels sent to dead sidecars. */
  cancelsToDead: number;
}

/**
 * Listens on the port of a killed sidecar: counts requests by the last segment
 * of their path and closes the connection without a response.
 */
class DeadSidecar {
  readonly #counts = new Map<string, number>();
  readonly #server = createServer((req) => {
    const kind = req.url?.split("/").at(-1) ?? "";
    this.#counts.set(kind, this.count(kind) + 1);
    req.socket.destroy();
  });

  async listen(port: number): Promise<void> {
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
  }

  count(kind: string): number {
    return this.#counts.get(kind) ?? 0;
  }

  close(): void {
    this.#server.close();
  }
}

/** Listeners that replace killed sidecars, by backend server name. */
type DeadSidecars = ReadonlyMap<string, DeadSidecar>;

async function acceptedWork(rig: Rig, backend: RigBackend): Promise<number> {
  const url = `${backend.process.addresses.system}/metrics`;
  const res = await fetch(url, { headers: rig.systemHeaders() });
  const text = await res.text();
  const isPrefill = backend.listed.role === BackendRole.Prefill;
  const match = (isPrefill ? PREFILLED_PATTERN : GRANTED_PATTERN).exec(text);
  return Number(match?.[1] ?? 0);
}

async function trafficOf(
  rig: Rig,
  role: BackendRole,
  dead: DeadSidecars,
): Promise<SidecarTraffic> {
  const traffic: SidecarTraffic = {
    accepted: 0,
    sentToDead: 0,
    cancelsToDead: 0,
  };
  for (const backend of rig.byRole(role)) {
    const deadSidecar = dead.get(backend.listed.name);
    if (!deadSidecar) traffic.accepted += await acceptedWork(rig, backend);
    for (const kind of DISPATCH_OPERATIONS) {
      traffic.sentToDead += deadSidecar?.count(kind) ?? 0;
    }
    traffic.cancelsToDead += deadSidecar?.count("cancel") ?? 0;
  }
  return traffic;
}

/** Runs `count` calls, `CONCURRENT` at a time; returns how many succeeded. */
async function runCalls(
  count: number,
  call: (index: number) => Promise<boolean>,
): Promise<number> {
  let next = 0;
  let answered = 0;
  const lane = async () => {
    while (next < count) {
      const ok = await call(next++).catch(() => false);
      if (ok) answered += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT }, lane));
  return answered;
}

async function modelCall(rig: Rig, index: number): Promise<boolean> {
  const answer = await callModel({
    address: rig.entries[0].address,
    model: RIG_MODEL,
    prompt: `request ${index} #len=8`,
    maxTokens: 8,
    stream: true,
  });
  return answer.finished;
}

async function plainCall(rig: Rig, index: number): Promise<boolean> {
  const result = await callPlain({
    address: rig.entries[0].address,
    service: RIG_PLAIN_SERVICE,
    method: "POST",
    path: "/swaps",
    body: JSON.stringify({ swap: index }),
  });
  return result.status === 200;
}

/** Kills the first sidecar of each role and listens on its port instead. */
async function killHalf(rig: Rig): Promise<DeadSidecars> {
  const dead = new Map<string, DeadSidecar>();
  for (const role of Object.values(BackendRole)) {
    const backend = rig.byRole(role)[0]!;
    const { port } = new URL(backend.process.addresses.system ?? "");
    await backend.process.kill();
    const sidecar = new DeadSidecar();
    await sidecar.listen(Number(port));
    dead.set(backend.listed.name, sidecar);
  }
  return dead;
}

function perRequest(count: number): number {
  return Math.round(1_000 * count / REQUESTS) / 1_000;
}

/** Runs the benchmark; returns the exit status. */
export async function main(): Promise<number> {
  const rig = await startRig();
  const dead = await killHalf(rig);
  try {
    const models = await runCalls(REQUESTS, (i) => modelCall(rig, i));
    const plains = await runCalls(REQUESTS, (i) => plainCall(rig, i));
    const dispatches: Record<string, number> = {};
    const cancels: Record<string, number> = {};
    for (const role of Object.values(BackendRole)) {
      const traffic = await trafficOf(rig, role, dead);
      dispatches[role] = perRequest(traffic.accepted + traffic.sentToDead);
      cancels[role] = perRequest(traffic.cancelsToDead);
    }
    const answered = { models, plains, of: REQUESTS };
    const line = { bench: "half-dead", answered, dispatches, cancels };
    console.log(JSON.stringify(line));
    return models + plains === 2 * REQUESTS ? 0 : 1;
  } finally {
    for (const sidecar of dead.values()) sidecar.close();
    await rig.close();
  }
}
