/** Types and helpers shared by all kinds of requests. */
import type { Clock, Logger, Random } from "@sassafrascleat/runtime";
import type { BackendDirectory } from "../backends/directory.ts";
import {
  type Backend,
  type EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import type { Customer, Route, Service } from "../config/routing_table.ts";
import type { EngineLoadTracker } from "../decide/engine_load_tracker.ts";
import type { CallOutcome, HealthTracker } from "../decide/backend_health.ts";
import type { RequestRateLimits } from "../decide/request_rate_limits.ts";
import type { ServerPace } from "../decide/server_pace.ts";
import type { OutputLengthEstimator } from "../decide/output_length_estimator.ts";
import type { PrefillQueueEstimator } from "../decide/prefill_queue.ts";
import type { PrefillSpeedEstimator } from "../decide/prefill_speed.ts";
import type { ServiceScheduling } from "../decide/service_scheduling.ts";
import type { StageWork } from "../decide/stage_plan.ts";
import type { RetryBudget } from "../decide/retry_budget.ts";
import type {
  CustomerDirective,
  HeaderCodec,
  KvSource,
  RawHeaders,
  RequestMetadata,
} from "../http/wire_codec.ts";
import type { Upstream } from "../http/upstream.ts";
import type { GatewayMetrics } from "../metrics.ts";
import type { GatewayPolicy } from "../policy.ts";
import type { RequestKeys } from "../quarantine/request_keys.ts";
import type { CustomerQuotas } from "../quota/customer_quotas.ts";
import type { RequestQuarantine } from "../quarantine/request_quarantine.ts";
import type { StreamVersions } from "../versions/stream_versions.ts";
import type { Liveness } from "./liveness.ts";
import type { LivenessChecks } from "./liveness_checks.ts";
import { ejectBackend, recordOutcome } from "./record_outcome.ts";

/** One request of a caller, with its complete body. */
export interface CallerRequest {
  metadata: RequestMetadata;
  /** What may crash backend servers about it. */
  keys: RequestKeys;
  method: string;
  /** Path and query. */
  target: string;
  headers: RawHeaders;
  body: Buffer;
  route: Route;
  service: Service;
  /** The customer whose API key the request carries. */
  customer?: Customer;
  /** Sent to backend servers; absent if the configuration has no customers. */
  customerDirective?: CustomerDirective;
  /** Of the route, or as `PriorityLevels` has it; 0 is the most urgent. */
  priority: number;
  /** Of the customer or else of the route, as backend servers get it. */
  enginePriority: number;
  /** Version of the configuration that the request was routed with. */
  configVersion: number;
  /** When the request's head arrived, in milliseconds of the process clock. */
  arrivedMs: number;
  /** Deadline of the response, in milliseconds of the process clock. */
  deadlineAtMs: number;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  responder: Responder;
}

/** Writes the response to the caller. */
export interface Responder {
  /** True once any part of the response has been written. */
  readonly started: boolean;
  /** Sends a complete response. */
  reply(status: number, headers: RawHeaders, body?: Buffer | string): void;
  startStream(status: number, headers: RawHeaders): void;
  /** Writes bytes of a stream; false when the write buffer is full. */
  write(bytes: Buffer): boolean;
  /** Bytes that the caller's connection has not accepted yet. */
  readonly waitingBytes: number;
  /** True while an earlier response on the same connection is incomplete. */
  readonly blocked: boolean;
  /** Calls `listener` once when the connection has accepted waiting bytes. */
  onceProgress(listener: () => void): void;
  endStream(): void;
  /** Closes the connection abruptly, so that the response is incomplete. */
  destroy(): void;
}

/** How a request ended. */
export enum RunEnd {
  Answered = "answered",
  /** The backend server's error was forwarded. */
  BackendError = "backend_error",
  /** The request did not run, and the caller was told so. */
  Rejected = "refused",
  /** No complete response was received; the request may have run. */
  Failed = "failed",
  CallerLeft = "caller_left",
}

/** Why a request did not succeed. */
export enum RunReason {
  None = "none",
  NoBackend = "no_backend",
  NoCapacity = "no_room",
  /** The backend servers limit their rate, and this router's share is used up. */
  RateLimited = "rate_limited",
  TooLate = "too_late",
  TooLarge = "too_large",
  NotExecuted = "not_executed",
  /** The body of the request has no room in the router's memory. */
  NoMemory = "no_memory",
  /** The route requires an API key, and that of the request is unknown. */
  UnknownApiKey = "unknown_api_key",
  NoResponse = "no_answer",
  InvalidResponse = "spoiled_answer",
  StreamCut = "stream_cut",
  TimedOut = "timed_out",
  Draining = "entry_leaving",
  /** The customer is over its quota. */
  OverQuota = "over_quota",
  /** The request, or a part of its prompt, crashes backend servers. */
  Quarantined = "quarantined",
  /** The caller did not read its stream, which the router ended. */
  SlowReader = "slow_reader",
  /** It is not known at which software version the stream began. */
  VersionUnknown = "version_unknown",
  /** No backend server of a software version that could run it is ready. */
  VersionAbsent = "version_absent",
}

/** How one request ended, for its log line and metrics. */
export interface RunOutcome {
  end: RunEnd;
  reason: RunReason;
  status: number;
  /** Calls to backend servers that may have run the request. */
  attempts: number;
  /** The last backend server that the request was sent to. */
  backendId?: string;
  /** Time to the first event, or to the complete response of a plain call. */
  firstByteMs?: number;
  events?: number;
  /** Longest gap between two events of a stream, in milliseconds. */
  longestGapMs?: number;
}

/** Result of an attempt to reserve memory at an engine. */
export enum HoldEnd {
  Granted = "granted",
  /** The engine has too little free memory or no free slot. */
  NoCapacity = "no_room",
  /** No response in time; the engine may stand still. */
  Silent = "silent",
  /** No connection, or no valid response from this incarnation of the engine. */
  Unreachable = "unreachable",
}

export interface HoldResult {
  end: HoldEnd;
  holdId?: string;
  message?: string;
}

/** The result of a successful prefill call. */
export interface PrefillReply {
  source: KvSource;
  tokens: number;
}

/** Result of an attempt to copy the memory of a running generation. */
export enum CopyEnd {
  /** The target engine has a copy of the memory; the run goes on. */
  Copied = "copied",
  /** The target engine has no room or can't be reached; the run goes on. */
  NoRoom = "no_target_room",
  /** The run has ended, or nothing is known of it. */
  Failed = "copy_failed",
}

export interface CopyResult {
  end: CopyEnd;
  /** Where the memory can be fetched from if the run has stopped. */
  source?: KvSource;
  /** Events that the run had generated. */
  engineEvents?: number;
  message?: string;
}

/** Result of an attempt to move a running generation. */
export enum MoveEnd {
  /** The run has stopped, and its memory is at the target engine. */
  Moved = "moved",
  /** The run has stopped, and its memory is still at the source engine. */
  Stayed = "stayed",
  /** The source engine has no such run any more. */
  Ended = "ended",
  /** The call has not stopped the run. */
  NotMoved = "not_moved",
  /** No response proves what became of the run, which may have stopped. */
  Unknown = "unknown",
}

export interface MoveResult {
  end: MoveEnd;
  /** Where the memory of the stopped run can be fetched from. */
  source?: KvSource;
  /** Events that the run had generated. */
  engineEvents?: number;
  message?: string;
}

/** Control calls to a model engine, apart from callers' requests. */
export interface EngineControl {
  /** Reserves a slot and memory for `ttlMs`. */
  createHold(
    engine: Backend,
    tokens: number,
    ttlMs: number,
    signal: AbortSignal,
  ): Promise<HoldResult>;
  /** Cancels an unused reservation. */
  deleteHold(engine: Backend, holdId: string): void;
  /** Parses the body of a prefill response; undefined when it is invalid. */
  parsePrefill(engine: Backend, body: Buffer): PrefillReply | undefined;
  /** Frees an unused prefill result. */
  deleteKvHandle(engine: Backend, handle: string): void;
  /**
   * Copies the memory of a running generation to `target`. Waits for the result
   * until `signal` aborts.
   */
  copyRun(
    engine: Backend,
    requestId: string,
    target: Backend,
    signal: AbortSignal,
  ): Promise<CopyResult>;
  /**
   * Stops a running generation and transfers its memory to `target`. Waits for
   * the result until `signal` aborts.
   */
  moveRun(
    engine: Backend,
    requestId: string,
    target: Backend,
    signal: AbortSignal,
  ): Promise<MoveResult>;
  /** Makes a call without effect, for the headers of its response. */
  ping(engine: Backend): Promise<void>;
  /** Asks on a new connection whether the engine lives. */
  checkLiveness(engine: Backend): Promise<Liveness>;
}

/** A running generation that is notified when its engine is drained. */
export interface ActiveStream {
  /** Called when the engine drains or is removed; may move the generation. */
  onEngineDraining(): void;
}

/** State and interfaces that the handling of requests depends on. */
export interface RunContext {
  clock: Clock;
  log: Logger;
  random: Random;
  zone: string;
  codec: HeaderCodec;
  engines: EngineControl;
  upstream: Upstream;
  directory: BackendDirectory;
  health: HealthTracker;
  /** Limits of backend servers that have just started or returned. */
  pace: ServerPace;
  engineLoads: EngineLoadTracker;
  quarantine: RequestQuarantine;
  quotas: CustomerQuotas;
  versions: StreamVersions;
  liveness: LivenessChecks;
  rateLimits: RequestRateLimits;
  metrics: GatewayMetrics;
  policy: GatewayPolicy;
  /** Aborts when requests must end because the process is about to exit. */
  exitSignal: AbortSignal;
  /** Number of calls in progress to plain backend servers, by incarnation. */
  inProgress: Map<string, number>;
  /** Running generations, by engine incarnation. */
  activeStreams: Map<string, Set<ActiveStream>>;
  /** Last rejection for lack of decode memory, by service, in clock ms. */
  decodeShortages: Map<string, number>;
  retryBudgetOf(service: string): RetryBudget;
  outputEstimatorOf(route: string): OutputLengthEstimator;
  prefillSpeedOf(service: string): PrefillSpeedEstimator;
  prefillQueueOf(service: string): PrefillQueueEstimator;
  stageWorkOf(service: string): StageWork;
  schedulingOf(service: string): ServiceScheduling;
}

/** Time until the request's deadline, in milliseconds. */
export function remainingMs(ctx: RunContext, req: CallerRequest): number {
  return req.deadlineAtMs - ctx.clock.now();
}

/** Time since the request arrived, in milliseconds. */
export function ageMs(ctx: RunContext, req: CallerRequest): number {
  return ctx.clock.now() - req.arrivedMs;
}

/** How long no backend server may get the request, in ms; 0 if one may. */
export function quarantineMs(ctx: RunContext, req: CallerRequest): number {
  return ctx.quarantine.remainingMs(req.keys);
}

/** Takes one call from the service's retry budget; false if none is left. */
export function tryAcquireRetry(
  ctx: RunContext,
  req: CallerRequest,
  cause: string,
): boolean {
  const allowed = ctx.retryBudgetOf(req.service.name).tryAcquire();
  if (allowed) ctx.metrics.repeats.inc({ cause });
  return allowed;
}

/** Another server, or an engine at another stage, has the address. */
export const STATUS_MISDIRECTED = 421;

/**
 * Records that a backend server rejected a request as misdirected. Either
 * another server now has its address, or it is an engine at another stage than
 * the store lists; `otherStage` is the one that it must have then.
 */
export function recordMisdirected(
  ctx: RunContext,
  backend: Backend,
  respondedBy: string | undefined,
  otherStage?: EngineStage,
): void {
  const key = incarnationOf(backend);
  ctx.log("backend_misdirected", {
    backend: backend.id,
    answered_by: respondedBy,
  });
  if (respondedBy === undefined) ejectBackend(ctx, backend);
  else if (respondedBy !== backend.id) ctx.health.excludeReplaced(key);
  else if (otherStage) ctx.directory.assumeStage(backend.id, otherStage);
  else ejectBackend(ctx, backend);
}

/**
 * Records how a call to a backend server ended. If the server is ejected as a
 * result, it gets no requests for a while, and later ones use new connections.
 */
export function recordCallResult(
  ctx: RunContext,
  backend: Backend,
  outcome: CallOutcome,
  latencyMs: number,
): void {
  const key = incarnationOf(backend);
  const peers = () => ctx.directory.ready(backend.service).map(incarnationOf);
  if (!recordOutcome(ctx, backend, outcome, latencyMs, peers)) return;
  ctx.metrics.ejections.inc();
  const record = ctx.health.recordOf(key);
  ctx.log("backend_ejected", {
    backend: backend.id,
    error_rate: Number(record.errorRate.toFixed(2)),
    for_ms: Math.round(record.ejectedUntilMs - ctx.clock.now()),
  });
  ctx.upstream.retire(backend);
}
