/** Puts the parts of a sidecar together and owns their lifetime. */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { SidecarControl } from "@sassafrascleat/protocol";
import { createLogger, every, sleep } from "@sassafrascleat/runtime";
import type { FastifyInstance } from "fastify";
import { BackendState } from "./backend_state.ts";
import {
  ANSWER_BYTES_CAPACITY,
  DRAIN_POLL_MS,
  PRUNE_INTERVAL_MS,
  REAP_INTERVAL_MS,
} from "./constants.ts";
import { ControlCalls } from "./control.ts";
import { createListener } from "./listener.ts";
import { resolveSidecarOptions, type SidecarOptions } from "./options.ts";
import { PlainCalls } from "./plain_calls.ts";
import { prune, reap } from "./reaper.ts";
import { Streams } from "./streams.ts";

const log = createLogger("sidecar");

/** A running sidecar. */
export interface Sidecar {
  /** The control calls, for callers in the same process. */
  readonly control: SidecarControl;
  /** Base address of the system listener, `http://ip:port`. */
  readonly address: string;
  /** Unique for each start of a sidecar. */
  readonly incarnation: string;
  /**
   * Refuses new work at once and resolves when everything in flight is done
   * and its readers had time to fetch the end; also resolves on abort.
   */
  drain(signal: AbortSignal): Promise<void>;
  /** Stops at once. What the engine holds is cancelled by the next start. */
  close(): Promise<void>;
}

/** Starts a sidecar; its engine is cleaned up before it listens if it can be. */
export async function createSidecar(raw: SidecarOptions): Promise<Sidecar> {
  const cfg = resolveSidecarOptions(raw);
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const state = new BackendState(cfg, randomUUID(), stop.signal);
  const plain = cfg.plain && createPlainCalls(state);
  const control = new ControlCalls(state, plain);
  const streams = new Streams(state);
  addGauges(state);
  await state.parts?.watch.start(stop.signal);
  const app = createListener({ state, control, streams, plain });
  await app.listen({ host: cfg.host, port: cfg.port });
  void every(REAP_INTERVAL_MS, stop.signal, () => reap(state));
  void every(PRUNE_INTERVAL_MS, stop.signal, () => prune(state, plain));
  const address = addressOf(app, cfg.host);
  log("started", { name: cfg.backendServer.name, address });
  return {
    control,
    address,
    incarnation: state.incarnation,
    drain: (signal) => drain(state, signal),
    close: async () => {
      stop.abort();
      state.attempts.stopAll();
      await app.close();
    },
  };
}

function createPlainCalls(state: BackendState): PlainCalls | undefined {
  const { cfg, attempts, capacity, incarnation } = state;
  if (!cfg.plain) return undefined;
  return new PlainCalls({
    incarnation,
    backend: cfg.plain,
    attempts,
    capacity,
    clock: cfg.clock,
    answerBytes: ANSWER_BYTES_CAPACITY,
    onDuration: (ms) => state.observeCall(ms),
  });
}

async function drain(state: BackendState, signal: AbortSignal): Promise<void> {
  state.leaving = true;
  log("drain_begun", { in_flight: state.inFlight });
  while (state.inFlight > 0 && !signal.aborted) {
    await sleep(DRAIN_POLL_MS, signal);
  }
  await sleep(state.cfg.drainLingerMs, signal);
  log("drain_ended", { in_flight: state.inFlight });
}

function addGauges(state: BackendState): void {
  const { metrics } = state;
  metrics.gauge("running", "Places that run", () => state.hint().running);
  metrics.gauge("reserved", "Places reserved", () => state.hint().reserved);
  metrics.gauge("slots", "Slots allowed now", () => state.slots());
  metrics.gauge(
    "free_pieces",
    "Free memory pieces",
    () => state.hint().freePieces,
  );
  metrics.gauge(
    "ledger_attempts",
    "Attempts and tombstones held",
    () => state.attempts.size,
  );
  metrics.gauge(
    "cancels_pending",
    "Cancels that the engine has not answered",
    () => state.parts?.canceller.pending ?? 0,
  );
}

function addressOf(app: FastifyInstance, host: string): string {
  const { port } = app.server.address() as { port: number };
  return `http://${host}:${port}`;
}
