/**
 * Handles one request of a caller: matches it to a route of the active
 * configuration, runs it, and records its outcome.
 */
import type { ActiveConfig, ConfigHolder } from "./config/config_holder.ts";
import {
  type CustomerAccess,
  customerAccess,
} from "./config/customer_access.ts";
import { pickService } from "./config/route_index.ts";
import { type Route, RouteKind } from "./config/routing_table.ts";
import type { Drain } from "./drain.ts";
import type {
  HeadRejection,
  IngressRequest,
  RequestHead,
} from "./http/ingress.ts";
import { STATUS_UNAVAILABLE } from "./http/status.ts";
import type { RequestMetadata } from "./http/wire_codec.ts";
import { costOf } from "./quota/customer_quota.ts";
import { RequestKeys } from "./quarantine/request_keys.ts";
import type { DecodeReservations } from "./runs/decode_reservations.ts";
import { runPlain } from "./runs/plain_run.ts";
import {
  rejectDraining,
  rejectOverQuota,
  rejectQuarantined,
} from "./runs/reject.ts";
import {
  type CallerRequest,
  quarantineMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./runs/run_context.ts";
import { runStream } from "./runs/stream_run.ts";

/** Options of {@link RequestHandler}. */
export interface RequestHandlerOptions {
  ctx: RunContext;
  config: ConfigHolder;
  /** Returns the reservations at the decode engines of a service. */
  reservationsOf: (service: CallerRequest["service"]) => DecodeReservations;
  drain: Drain;
}

const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
/** Retry-After sent before the first configuration has arrived, in ms. */
const NOT_READY_RETRY_AFTER_MS = 300;

/** How the active configuration handles a request. */
interface RoutedRequest {
  active: ActiveConfig;
  route: Route;
  access: CustomerAccess;
}

/** Handles the requests of one router process. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Returns the response to a request whose body need not be read. */
  rejectHead(head: RequestHead): HeadRejection | undefined {
    const active = this.#options.config.current;
    if (!active?.customers) return undefined;
    const route = active.routes.find(head.host, head.target);
    if (!route) return undefined;
    const metadata = this.#options.ctx.codec.parseRequest(head.headers);
    if (customerAccess(active, route, metadata.apiKey)) return undefined;
    return this.#rejectKey(metadata, active, route);
  }

  /** Handles one request until its response has ended. */
  async handle(req: IngressRequest): Promise<void> {
    const { ctx, config } = this.#options;
    const active = config.current;
    const metadata = ctx.codec.parseRequest(req.headers);
    if (!active) return this.#rejectWithoutConfig(req, metadata);
    const route = active.routes.find(req.host, req.target);
    if (!route) return this.#rejectWithoutRoute(req, metadata, active);
    // The configuration may have changed while the body was read.
    const access = customerAccess(active, route, metadata.apiKey);
    if (!access) {
      const { status, headers } = this.#rejectKey(metadata, active, route);
      return req.responder.reply(status, headers);
    }
    const routed = { active, route, access };
    await this.#run(this.#toCallerRequest(req, metadata, routed));
  }

  #rejectKey(
    { requestId }: RequestMetadata,
    { table }: ActiveConfig,
    { name, kind }: Route,
  ): HeadRejection {
    const { codec, log, metrics } = this.#options.ctx;
    const reason = RunReason.UnknownApiKey;
    const config = table.version;
    log("api_key_rejected", { req: requestId, route: name, config });
    metrics.requests.inc({ kind, end: RunEnd.Rejected, reason });
    const headers = codec.buildLocalReplyHeaders(requestId);
    return { status: STATUS_UNAUTHORIZED, headers };
  }

  #rejectWithoutConfig(
    { responder }: IngressRequest,
    { requestId }: RequestMetadata,
  ): void {
    const { codec, log } = this.#options.ctx;
    const headers = codec.buildLocalReplyHeaders(
      requestId,
      NOT_READY_RETRY_AFTER_MS,
    );
    log("refused", { req: requestId, reason: "no_config" });
    responder.reply(STATUS_UNAVAILABLE, headers);
  }

  #rejectWithoutRoute(
    { host, responder }: IngressRequest,
    { requestId }: RequestMetadata,
    { table }: ActiveConfig,
  ): void {
    const { codec, log } = this.#options.ctx;
    log("no_route", { req: requestId, host, config: table.version });
    responder.reply(STATUS_NOT_FOUND, codec.buildLocalReplyHeaders(requestId));
  }

  #toCallerRequest(
    req: IngressRequest,
    metadata: RequestMetadata,
    { active: { table, priorities }, route, access }: RoutedRequest,
  ): CallerRequest {
    const name = pickService(route, this.#options.ctx.random) ?? "";
    const service = table.services.get(name) ?? { name, maxConnections: 0 };
    const waitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    const { promptParts } = metadata;
    return {
      ...req,
      metadata,
      keys: new RequestKeys({ ...req, service: name, promptParts }),
      route,
      service,
      customer: access.customer,
      customerDirective: access.directive,
      enginePriority: access.customer?.priority ?? route.priority,
      priority: priorities?.levelOf(route, access.customer) ?? route.priority,
      configVersion: table.version,
      deadlineAtMs: req.arrivedMs + waitMs,
    };
  }

  async #run(req: CallerRequest): Promise<void> {
    const { metrics } = this.#options.ctx;
    metrics.inProgress.inc();
    const outcome = await this.#dispatch(req);
    metrics.inProgress.dec();
    const { kind } = req.route;
    metrics.requests.inc({ kind, end: outcome.end, reason: outcome.reason });
    if (outcome.firstByteMs !== undefined) {
      metrics.firstByte.observe({ kind }, outcome.firstByteMs / 1000);
    }
    this.#logEnd(req, outcome);
  }

  #dispatch(req: CallerRequest): Promise<RunOutcome> {
    const { ctx, reservationsOf, drain } = this.#options;
    if (quarantineMs(ctx, req) > 0) {
      return Promise.resolve(rejectQuarantined(ctx, req));
    }
    const { deadlineAtMs, route } = req;
    if (!drain.accepts({ kind: route.kind, deadlineAtMs })) {
      return Promise.resolve(rejectDraining(ctx, req));
    }
    const run = () =>
      route.kind === RouteKind.Stream
        ? runStream(ctx, req, reservationsOf(req.service))
        : runPlain(ctx, req);
    return req.customer?.quota ? this.#runInQuota(req, run) : run();
  }

  /** Runs a request if its customer's quota admits it. */
  async #runInQuota(
    req: CallerRequest,
    run: () => Promise<RunOutcome>,
  ): Promise<RunOutcome> {
    const { ctx } = this.#options;
    const { customer, metadata } = req;
    if (!customer?.quota) return run();
    const cost = costOf(customer.quota, metadata);
    const grant = ctx.quotas.tryAcquire(customer, cost);
    if ("retryAfterMs" in grant) {
      return rejectOverQuota(ctx, req, grant.retryAfterMs);
    }
    const outcome = await run();
    if (outcome.end === RunEnd.Rejected) grant.refund();
    return outcome;
  }

  #logEnd(req: CallerRequest, outcome: RunOutcome): void {
    const { log, clock } = this.#options.ctx;
    log("request_end", {
      req: req.metadata.requestId,
      route: req.route.name,
      service: req.service.name,
      customer: req.customer?.name,
      end: outcome.end,
      reason: outcome.reason,
      status: outcome.status,
      backend: outcome.backendId,
      attempts: outcome.attempts,
      events: outcome.events,
      first_ms: round(outcome.firstByteMs),
      longest_gap_ms: round(outcome.longestGapMs),
      total_ms: round(clock.now() - req.arrivedMs),
      target_ms: req.route.targetLatencyMs,
      gap_target_ms: req.route.maxEventGapMs || undefined,
      config: req.configVersion,
    });
  }
}

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
