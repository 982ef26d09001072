/**
 * `npm run bench -- half-dead`: real processes, with one of two sidecars of
 * every pool killed; in its place a listener counts messages and cuts their
 * connections. Prints one JSON line: dispatches (reservations, prefills, starts
 * and calls, at live and dead sidecars) and cancels to the dead ones, for each
 * request. The status is 1 if a request was not answered.
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

/** Requests that are under way at once. */
const CONCURRENT = 8;

const GRANTED =
  /^sassafrascleat_sidecar_reservations_total\{result="granted"\} (\d+)/m;
const PREFILLED =
  /^sassafrascleat_sidecar_prefills_total\{result="done"\} (\d+)/m;

/** Last parts of the paths that carry work. */
const DISPATCHES = ["reserve", "prefill", "start", "call"];

/** What reached the sidecars of one role. */
interface Reached {
  /** Work that a live sidecar took. */
  taken: number;
  /** Work that was sent to a dead sidecar. */
  dead: number;
  /** Cancels that were sent to a dead sidecar. */
  cancels: number;
}

/** Stands where a sidecar was: counts messages by kind and cuts them off. */
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

/** The stand-ins of killed sidecars, by name. */
type DeadSidecars = ReadonlyMap<string, DeadSidecar>;

async function workTaken(rig: Rig, backend: RigBackend): Promise<number> {
  const url = `${backend.process.addresses.system}/metrics`;
  const res = await fetch(url, { headers: rig.systemHeaders() });
  const text = await res.text();
  const isPrefill = backend.listed.role === BackendRole.Prefill;
  const match = (isPrefill ? PREFILLED : GRANTED).exec(text);
  return Number(match?.[1] ?? 0);
}

async function reachedOf(
  rig: Rig,
  role: BackendRole,
  dead: DeadSidecars,
): Promise<Reached> {
  const reached: Reached = { taken: 0, dead: 0, cancels: 0 };
  for (const backend of rig.byRole(role)) {
    const gone = dead.get(backend.listed.name);
    if (!gone) reached.taken += await workTaken(rig, backend);
    for (const kind of DISPATCHES) reached.dead += gone?.count(kind) ?? 0;
    reached.cancels += gone?.count("cancel") ?? 0;
  }
  return reached;
}

/** Runs `count` calls, a few at a time; returns how many were answered. */
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

/** Kills the first sidecar of every pool. */
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

/** Runs the bench. */
export async function main(): Promise<number> {
  const rig = await startRig();
  const dead = await killHalf(rig);
  try {
    const models = await runCalls(REQUESTS, (i) => modelCall(rig, i));
    const plains = await runCalls(REQUESTS, (i) => plainCall(rig, i));
    const dispatches: Record<string, number> = {};
    const cancels: Record<string, number> = {};
    for (const role of Object.values(BackendRole)) {
      const reached = await reachedOf(rig, role, dead);
      dispatches[role] = perRequest(reached.taken + reached.dead);
      cancels[role] = perRequest(reached.cancels);
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
