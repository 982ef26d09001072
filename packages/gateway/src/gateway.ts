/**
 * The gateway receives requests from callers, matches them to a route of the
 * active configuration, and forwards them directly to backend servers. It holds
 * all state that its decisions are based on; the deployment's adapter updates
 * its configuration and its list of backend servers.
 */
import type { Clock, Logger, Random } from "@sassafrascleat/runtime";
import { BackendDirectory } from "./backends/directory.ts";
import { type Backend, incarnationOf } from "./backends/backend.ts";
import { ConfigHolder } from "./config/config_holder.ts";
import { HealthTracker } from "./decide/backend_health.ts";
import { connectionShare } from "./decide/connection_share.ts";
import { EngineLoadTracker } from "./decide/engine_load_tracker.ts";
import type { StageWork } from "./decide/stage_plan.ts";
import { RequestRateLimits } from "./decide/request_rate_limits.ts";
import { RouterRanks } from "./decide/router_ranks.ts";
import { PaceReason } from "./decide/server_pace.ts";
import type { RetryLimits } from "./decide/retry_budget.ts";
import { createServerPace } from "./create_server_pace.ts";
import { Drain } from "./drain.ts";
import { Ingress } from "./http/ingress.ts";
import { MemoryBudget } from "./http/memory_budget.ts";
import { Upstream } from "./http/upstream.ts";
import type { HeaderCodec } from "./http/wire_codec.ts";
import { createGatewayMetrics, type GatewayMetrics } from "./metrics.ts";
import {
  type GatewayPolicy,
  type GatewayPolicyOptions,
  resolveGatewayPolicy,
} from "./policy.ts";
import { type CrashLog, LocalCrashLog } from "./quarantine/crash_log.ts";
import { CustomerQuotas } from "./quota/customer_quotas.ts";
import type { QuotaTolerance } from "./quota/customer_quota.ts";
import type { QuotaShareLog } from "./quota/quota_share_log.ts";
import { RequestQuarantine } from "./quarantine/request_quarantine.ts";
import { rejectUnread } from "./runs/reject.ts";
import { DecodeReservations } from "./runs/decode_reservations.ts";
import { LivenessChecks } from "./runs/liveness_checks.ts";
import type {
  CallerRequest,
  EngineControl,
  RunContext,
} from "./runs/run_context.ts";
import { RequestHandler } from "./request_handler.ts";
import { ServerObserver } from "./server_observer.ts";
import { getOrCreate, ServiceStates } from "./service_states.ts";
import { RETAIN_MS } from "./versions/retention.ts";
import { StreamVersions } from "./versions/stream_versions.ts";
import type { VersionLog } from "./versions/version_log.ts";

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  /** Availability zone of this host. */
  zone: string;
  /** Name of this router, different from that of all others. @default "" */
  routerName?: string;
  codec: HeaderCodec;
  /** Creates the client for control calls to engines. */
  createEngineControl: (upstream: Upstream) => EngineControl;
  policy?: GatewayPolicyOptions;
  /**
   * Time in which the store drops the entry of a backend server that doesn't
   * renew it, in milliseconds. @default 5000
   */
  entryLifetimeMs?: number;
  /**
   * Returns the log of crashed engines that all routers share.
   * @default a log of this router alone
   */
  crashLog?: () => CrashLog;
  /**
   * Returns the log of the versions of streams that all routers share.
   * @default a log of this router alone
   */
  versionLog?: () => VersionLog;
  /**
   * Returns where all routers share out quotas.
   * @default the shares of this router alone
   */
  quotaShareLog?: () => QuotaShareLog;
  /** Tolerance of all quotas. @default none */
  quotaTolerance?: QuotaTolerance;
  /** Time in which a change is noticed after a disruption. @default 3000 */
  noticeMs?: number;
  /** The whole deployment starts for the first time. @default false */
  firstStart?: boolean;
  /** Memory for what peers send, in bytes. @default 41943040 */
  memoryBytes?: number;
  /** Connections of callers at once. @default 2600 */
  maxCallerConnections?: number | undefined;
  /** Aborts when the gateway stops. */
  signal?: AbortSignal;
}

/** How long a rejection for lack of decode memory counts, in milliseconds. */
const DECODE_SHORTAGE_TTL_MS = 10_000;

/** Serves the callers of one router process. */
export class Gateway {
  readonly config: ConfigHolder;
  readonly directory: BackendDirectory;
  readonly metrics: GatewayMetrics;
  readonly ingress: Ingress;
  readonly upstream: Upstream;
  /** Keeps requests away from the backend servers that they would crash. */
  readonly quarantine: RequestQuarantine;
  /** Keeps streams at the software version that began them. */
  readonly versions: StreamVersions;
  /** Limits what customers may use over all routers. */
  readonly quotas: CustomerQuotas;
  readonly #ctx: RunContext;
  readonly #rateLimits: RequestRateLimits;
  readonly #ranks: RouterRanks;
  readonly #services: ServiceStates;
  readonly #servers: ServerObserver;
  readonly #decodeReservations = new Map<string, DecodeReservations>();
  readonly #drain: Drain;
  /** Number of router instances that share retry and connection limits. */
  #routerCount: number;

  constructor(options: GatewayOptions) {
    const { clock, log, random } = options;
    const policy = resolveGatewayPolicy(options.policy);
    this.#routerCount = policy.entries;
    this.#drain = new Drain(clock, log);
    this.config = new ConfigHolder(clock, log);
    this.directory = new BackendDirectory({
      clock,
      log,
      entryLifetimeMs: options.entryLifetimeMs,
    });
    this.versions = new StreamVersions({
      clock,
      log,
      random,
      directory: this.directory,
      config: this.config,
      versionLog: options.versionLog,
      retainMs: RETAIN_MS,
      signal: options.signal,
    });
    const memory = new MemoryBudget(options.memoryBytes);
    this.metrics = createGatewayMetrics({
      peerBytes: () => memory.usedBytes,
      requestBytes: () => this.ingress.requestBytes,
      pacedServers: () => this.#ctx.pace.count,
      inputBytes: () => this.ingress.inputBytes,
    });
    this.#rateLimits = new RequestRateLimits({
      clock,
      random,
      routerName: options.routerName ?? "",
      assumedRouters: policy.entries,
    });
    this.#ranks = new RouterRanks(options.routerName ?? "");
    this.quarantine = new RequestQuarantine({
      clock,
      log,
      random,
      crashLog: options.crashLog ?? localCrashLog(),
    });
    this.quotas = new CustomerQuotas({
      clock,
      log,
      random,
      routerName: options.routerName ?? "",
      shareLog: options.quotaShareLog,
      tolerance: options.quotaTolerance,
      noticeMs: options.noticeMs,
      firstStart: options.firstStart,
      count: (result, cost) => this.metrics.quotaCost.inc({ result }, cost),
      signal: options.signal,
    });
    this.#services = new ServiceStates({
      retryBudget: {
        clock,
        limits: () => retryLimitsOf(policy),
        startMs: clock.now(),
        routerCount: () => this.#routerCount,
      },
      scheduling: {
        clock,
        random,
        routerCount: () => this.#routerCount,
      },
      prefillTokensPerMs: policy.prefillTokensPerMs,
    });
    this.upstream = new Upstream({
      log,
      memory,
      maxConnectionsTo: (backend) => this.#maxConnectionsTo(backend),
      onResponse: (backend, head) =>
        this.#servers.observeResponse(backend, head),
    });
    const engines = options.createEngineControl(this.upstream);
    const health = new HealthTracker(clock);
    this.#ctx = {
      clock,
      log,
      random,
      zone: options.zone,
      codec: options.codec,
      engines,
      liveness: new LivenessChecks({
        clock,
        ask: (backend) => engines.checkLiveness(backend),
      }),
      upstream: this.upstream,
      directory: this.directory,
      health,
      pace: createServerPace({
        clock,
        log,
        health,
        rateLimits: this.#rateLimits,
        ranks: this.#ranks,
        directory: this.directory,
        metrics: this.metrics,
        policy,
      }),
      engineLoads: new EngineLoadTracker(clock),
      quarantine: this.quarantine,
      quotas: this.quotas,
      versions: this.versions,
      rateLimits: this.#rateLimits,
      metrics: this.metrics,
      policy,
      exitSignal: this.#drain.exitSignal,
      inProgress: new Map(),
      activeStreams: new Map(),
      decodeShortages: new Map(),
      retryBudgetOf: (service) => this.#services.retryBudgetOf(service),
      outputEstimatorOf: (route) => this.#services.outputEstimatorOf(route),
      prefillSpeedOf: (service) => this.#services.prefillSpeedOf(service),
      prefillQueueOf: (service) => this.#services.prefillQueueOf(service),
      stageWorkOf: (service) => this.#services.stageWorkOf(service),
      schedulingOf: (service) => this.#services.schedulingOf(service),
    };
    this.#servers = new ServerObserver(this.#ctx);
    const handler = new RequestHandler({
      ctx: this.#ctx,
      config: this.config,
      reservationsOf: (service) => this.#decodeReservationsOf(service),
      drain: this.#drain,
    });
    this.ingress = new Ingress({
      log,
      now: () => clock.now(),
      handler: (req) => handler.handle(req),
      rejectHead: (head) => handler.rejectHead(head),
      closing: () => this.#drain.started,
      exitSignal: this.#drain.exitSignal,
      memory,
      maxConnections: options.maxCallerConnections,
      onConnectionLimit: (closed) =>
        this.metrics.connectionsClosed.inc({ closed }),
      buildNoMemoryHeaders: (headers) => rejectUnread(this.#ctx, headers),
      onInputRejected: (reason) => this.metrics.inputRejections.inc({ reason }),
    });
    this.config.onChange((table) => {
      this.ingress.setLimits(table.limits);
      this.metrics.configVersion.set(table.version);
      this.metrics.customers.set(table.customers?.length ?? 0);
      this.#decodeReservations.clear();
    });
    this.directory.onChange((change, backend) =>
      this.#servers.observeChange(change, backend)
    );
  }

  /** True if requests can be served and the process is not draining. */
  get ready(): boolean {
    return this.config.current !== undefined && this.directory.loaded &&
      !this.#drain.started;
  }

  /**
   * Starts draining: each connection closes after its next response. Shortly
   * before the process exits at `exitAtMs` of its clock, the requests that are
   * still in progress are ended. @default never
   */
  startDrain(exitAtMs = Infinity): void {
    this.#drain.start(exitAtMs);
  }

  /** Updates the given limits. Requests in progress may use the old ones. */
  setPolicy(options: GatewayPolicyOptions): void {
    Object.assign(this.#ctx.policy, options);
  }

  /**
   * Notes that the store was restored from a copy. Called before anything that
   * it responds from then on is applied.
   */
  handleStoreRestored(): void {
    this.directory.markStoreRestored();
    this.quarantine.handleLogRestored();
    this.versions.handleStoreRestored();
    this.quotas.handleStoreRestored();
  }

  /** Sets the names of the router instances that share limits. */
  setRouters(names: readonly string[]): void {
    this.#rateLimits.setRouters(names);
    this.#ranks.setRouters(names);
    const routerCount = Math.max(1, names.length);
    this.quotas.setRouterCount(routerCount);
    if (routerCount === this.#routerCount) return;
    this.#ctx.log("entries_counted", {
      entries: routerCount,
      before: this.#routerCount,
    });
    this.#routerCount = routerCount;
  }

  /** Estimated work of a service's generations that ended at this router. */
  stageWorkOf(service: string): StageWork {
    return this.#services.stageWorkOf(service);
  }

  /** Number of generations that this router has placed on an engine. */
  loadOf(engine: Backend): number {
    return this.#ctx.engineLoads.loadOf(incarnationOf(engine)).requestCount;
  }

  /** Sends a backend server no work for `forMs` or until its entry changes. */
  suspendBackend(backend: Backend, forMs: number): void {
    const { clock, health, log, pace } = this.#ctx;
    log("backend_set_aside", { backend: backend.id, for_ms: forMs });
    health.suspend(incarnationOf(backend), forMs);
    pace.begin(backend, PaceReason.StageChange, clock.now() + forMs);
  }

  /** Ends the suspension of a backend server. */
  resumeBackend(backend: Backend): void {
    const key = incarnationOf(backend);
    this.#ctx.health.resume(key);
    this.#ctx.pace.resume(key);
  }

  /** Whether requests were lately rejected for lack of decode memory. */
  decodeMemoryShort(service: string): boolean {
    const lastMs = this.#ctx.decodeShortages.get(service) ?? -Infinity;
    return this.#ctx.clock.now() - lastMs < DECODE_SHORTAGE_TTL_MS;
  }

  #maxConnectionsTo(backend: Backend): number {
    const services = this.config.current?.table.services;
    const limit = services?.get(backend.service)?.maxConnections ?? 0;
    return connectionShare(limit, this.#routerCount);
  }

  #decodeReservationsOf(service: CallerRequest["service"]): DecodeReservations {
    const create = () => new DecodeReservations(this.#ctx, service);
    return getOrCreate(this.#decodeReservations, service.name, create);
  }
}

function localCrashLog(): () => CrashLog {
  const crashLog = new LocalCrashLog();
  return () => crashLog;
}

function retryLimitsOf(policy: GatewayPolicy): RetryLimits {
  return {
    ratio: policy.retryRatio,
    slack: policy.retrySlack,
    windowMs: policy.retryWindowMs,
  };
}
