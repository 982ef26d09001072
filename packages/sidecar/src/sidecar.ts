/** Creates the components of a sidecar and manages their lifetime. */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { SidecarControl } from "@sassafrascleat/protocol";
import { createLogger, runPeriodically, sleep } from "@sassafrascleat/runtime";
import type { FastifyInstance } from "fastify";
import { SidecarState } from "./sidecar_state.ts";
import {
  DRAIN_POLL_INTERVAL_MS,
  MAX_RETAINED_ANSWER_BYTES,
  PRUNE_INTERVAL_MS,
  REAP_INTERVAL_MS,
} from "./constants.ts";
import { ControlCalls } from "./control.ts";
import { createListener } from "./listener.ts";
import { resolveSidecarOptions, type SidecarOptions } from "./options.ts";
import { PlainCalls } from "./plain_calls.ts";
import { endLapsedAttempts, forgetEndedAttempts } from "./reaper.ts";
import { TokenStreams } from "./token_streams.ts";

const log = createLogger("sidecar");

/** A running sidecar. */
export interface Sidecar {
  /** The control API, for callers in the same process. */
  readonly control: SidecarControl;
  /** Base address of the system listener, `http://ip:port`. */
  readonly address: string;
  /** Id that is unique to each start of a sidecar. */
  readonly incarnation: string;
  /**
   * Refuses new requests at once. Resolves when all requests in flight have
   * ended and `drainLingerMs` has passed, in which readers can fetch the end of
   * their streams; also resolves when `signal` aborts.
   */
  drain(signal: AbortSignal): Promise<void>;
  /**
   * Stops at once. The next start cancels the requests that the engine still
   * holds.
   */
  close(): Promise<void>;
}

/**
 * Starts a sidecar. Before it listens, it tries to cancel the requests that the
 * engine holds from an earlier start.
 */
export async function createSidecar(raw: SidecarOptions): Promise<Sidecar> {
  const cfg = resolveSidecarOptions(raw);
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const state = new SidecarState(cfg, randomUUID(), stop.signal);
  const plain = cfg.plain && createPlainCalls(state);
  const control = new ControlCalls(state, plain);
  const streams = new TokenStreams(state);
  addGauges(state);
  await state.engineParts?.watch.start(stop.signal);
  const app = createListener({ state, control, streams, plain });
  await app.listen({ host: cfg.host, port: cfg.port });
  void runPeriodically(
    REAP_INTERVAL_MS,
    stop.signal,
    () => endLapsedAttempts(state),
  );
  void runPeriodically(
    PRUNE_INTERVAL_MS,
    stop.signal,
    () => forgetEndedAttempts(state, plain),
  );
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

function createPlainCalls(state: SidecarState): PlainCalls | undefined {
  const { cfg, attempts, capacity, incarnation } = state;
  if (!cfg.plain) return undefined;
  return new PlainCalls({
    incarnation,
    backend: cfg.plain,
    attempts,
    capacity,
    clock: cfg.clock,
    maxRetainedBytes: MAX_RETAINED_ANSWER_BYTES,
    onDuration: (ms) => state.observeCall(ms),
  });
}

async function drain(state: SidecarState, signal: AbortSignal): Promise<void> {
  state.leaving = true;
  log("drain_begun", { in_flight: state.inFlight });
  while (state.inFlight > 0 && !signal.aborted) {
    await sleep(DRAIN_POLL_INTERVAL_MS, signal);
  }
  await sleep(state.cfg.drainLingerMs, signal);
  log("drain_ended", { in_flight: state.inFlight });
}

function addGauges(state: SidecarState): void {
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
    () => state.engineParts?.canceller.pending ?? 0,
  );
}

function addressOf(app: FastifyInstance, host: string): string {
  const { port } = app.server.address() as { port: number };
  return `http://${host}:${port}`;
}
