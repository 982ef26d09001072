/** An entry: accepts callers' requests and runs them through sidecars. */
import {
  createLoadHintTracker,
  createRateLimiter,
} from "@sassafrascleat/routing";
import {
  baseUrlOf,
  createLogger,
  errorMessage,
  sleep,
  VError,
} from "@sassafrascleat/runtime";
import type { FastifyInstance } from "fastify";
import { setMaxListeners } from "node:events";
import {
  createCallersServer,
  createListener,
  type Listener,
  ListenerState,
} from "./callers/listener.ts";
import { Claims } from "./claims/claims.ts";
import { CLOSE_GRACE_MS } from "./constants.ts";
import { Admitter } from "./lifecycle/admitter.ts";
import type { EntryContext } from "./lifecycle/context.ts";
import { HintRefresher } from "./lifecycle/hint_refresher.ts";
import { Lanes } from "./lifecycle/lanes.ts";
import { PlannedPrefills } from "./lifecycle/planned_prefills.ts";
import { OutputEstimator } from "./lifecycle/output_estimator.ts";
import { createEntryMetrics, type EntryMetrics } from "./metrics.ts";
import {
  type EntryOptions,
  type ResolvedEntryOptions,
  resolveEntryOptions,
} from "./options.ts";
import { Canceller } from "./sidecar_client/canceller.ts";
import { Renewer, type RenewObserver } from "./sidecar_client/renewer.ts";
import { SidecarClients } from "./sidecar_client/sidecar_clients.ts";

const log = createLogger("entry");

/** A running entry. */
export interface Entry {
  /** Base URL of the callers' listener, `http://ip:port`. */
  readonly callersAddress: string;
  readonly metrics: EntryMetrics;
  /** Requests in progress. */
  readonly inFlight: number;
  /**
   * Stops accepting requests after `lameDuckMs`. Resolves when all have ended
   * or `signal` aborts.
   */
  drain(signal: AbortSignal): Promise<void>;
  /** Closes at once; requests in flight are disconnected and cancelled. */
  close(): Promise<void>;
}

/** Starts an entry; throws when its listener can't be opened. */
export async function createEntry(raw: EntryOptions): Promise<Entry> {
  const options = resolveEntryOptions(raw);
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const ctx = createContext(options, controller.signal);
  const lanes = new Lanes(ctx);
  const admitter = new Admitter(ctx, createRateLimiter());
  const listener = createListener(ctx, lanes, admitter);
  const app = createCallersServer(listener);
  try {
    await app.listen({ host: options.host, port: options.port });
  } catch (err) {
    throw new VError(
      { name: "ListenError", cause: err as Error },
      "callers' listener %s:%d can't be opened; choose another address",
      options.host,
      options.port,
    );
  }
  void ctx.renewer.run(controller.signal);
  void ctx.sidecarClients.sweep(controller.signal);
  void ctx.claims.run(controller.signal);
  return new RunningEntry(app, listener, controller);
}

function createContext(
  options: ResolvedEntryOptions,
  signal: AbortSignal,
): EntryContext {
  const { clock, hosts } = options;
  const hints = createLoadHintTracker(clock);
  const clients = new SidecarClients(options.secret, clock);
  const metrics = createEntryMetrics();
  const observe: EntryContext["observe"] = (name, incarnation, hint) => {
    hints.recordHint(name, hint);
    hosts.observe(name, incarnation, hint);
  };
  const { entryId } = options;
  const observeRenewal: RenewObserver = (name, reply) => {
    if (reply) observe(name, reply.incarnation, reply.hint);
    else hosts.observeFailure(name);
  };
  return {
    options,
    signal,
    clock,
    hosts,
    hints,
    hintRefresher: new HintRefresher({
      entryId,
      clients,
      observe: observeRenewal,
      signal,
    }),
    sidecarClients: clients,
    renewer: new Renewer(entryId, observeRenewal),
    canceller: new Canceller(clock, signal),
    metrics,
    outputEstimator: new OutputEstimator(),
    plannedPrefills: new PlannedPrefills(),
    claims: new Claims({ ...options, metrics, signal }),
    observe,
  };
}

class RunningEntry implements Entry {
  readonly callersAddress: string;
  readonly metrics: EntryMetrics;
  readonly #app: FastifyInstance;
  readonly #listener: Listener;
  readonly #controller: AbortController;
  #closed: Promise<void> | undefined;

  constructor(
    app: FastifyInstance,
    listener: Listener,
    controller: AbortController,
  ) {
    this.#app = app;
    this.#listener = listener;
    this.#controller = controller;
    this.metrics = listener.ctx.metrics;
    this.callersAddress = baseUrlOf(app.server);
  }

  get inFlight(): number {
    return this.#listener.admitter.inFlight;
  }

  async drain(signal: AbortSignal): Promise<void> {
    const { admitter, ctx } = this.#listener;
    log("draining", { inFlight: admitter.inFlight });
    this.#listener.state = ListenerState.LameDuck;
    await sleep(ctx.options.lameDuckMs, signal);
    this.#listener.state = ListenerState.Closing;
    const aborted = new Promise<void>((resolve) => {
      if (signal.aborted) return resolve();
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    await Promise.race([admitter.idle(), aborted]);
    await Promise.race([ctx.claims.flush(0), aborted]);
    log("drained", { inFlight: admitter.inFlight });
  }

  close(): Promise<void> {
    this.#closed ??= this.#close();
    return this.#closed;
  }

  async #close(): Promise<void> {
    const { ctx, admitter } = this.#listener;
    this.#listener.state = ListenerState.Closing;
    this.#app.server.closeAllConnections();
    await this.#app.close();
    const requestsAndCancelsEnded = admitter.idle().then(() =>
      ctx.canceller.waitForPending()
    );
    const graceTimer = new AbortController();
    await Promise.race([
      requestsAndCancelsEnded,
      sleep(CLOSE_GRACE_MS, graceTimer.signal),
    ]);
    graceTimer.abort();
    this.#controller.abort();
    await ctx.sidecarClients.close().catch((err) => {
      log("close_failed", { error: errorMessage(err) });
    });
  }
}
