/** What the runs of requests share: inputs, owners of state, outcomes. */
import type { Clock, Logger, Random } from "@sassafrascleat/runtime";
import type { BackendDirectory } from "../backends/directory.ts";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { Route, Service } from "../config/routing_table.ts";
import type { EngineBook } from "../decide/engine_book.ts";
import type { CallVerdict, HealthBook } from "../decide/backend_health.ts";
import type { OutputEstimate } from "../decide/output_estimate.ts";
import type { StageWork } from "../decide/stage_plan.ts";
import type { RetryAllowance } from "../decide/retry_allowance.ts";
import type {
  CallerFacts,
  KvSource,
  RawHeaders,
  WireCodec,
} from "../http/wire_codec.ts";
import type { Upstream } from "../http/upstream.ts";
import type { GatewayMetrics } from "../metrics.ts";
import type { GatewayPolicy } from "../policy.ts";

/** One request of a caller, read as a whole. */
export interface CallerRequest {
  facts: CallerFacts;
  method: string;
  /** Path and query. */
  target: string;
  headers: RawHeaders;
  body: Buffer;
  route: Route;
  service: Service;
  /** Version of the configuration that it was routed by. */
  configVersion: number;
  /** When its head arrived, in milliseconds of the process clock. */
  arrivedMs: number;
  /** When it has to be answered at the latest. */
  deadlineAtMs: number;
  /** Aborts when the caller is gone. */
  signal: AbortSignal;
  responder: Responder;
}

/** The caller's side of an answer. */
export interface Responder {
  /** True once any part of an answer was written. */
  readonly started: boolean;
  /** Answers as a whole. */
  reply(status: number, headers: RawHeaders, body?: Buffer | string): void;
  startStream(status: number, headers: RawHeaders): void;
  /** Writes bytes of a stream; false when the caller reads too slowly. */
  write(bytes: Buffer): boolean;
  /** Calls `listener` once when the caller has read on. */
  onceDrained(listener: () => void): void;
  endStream(): void;
  /** Ends the connection so that the answer doesn't look whole. */
  breakOff(): void;
}

/** How a request ended. */
export enum RunEnd {
  Answered = "answered",
  /** The backend server's own error was passed on. */
  BackendError = "backend_error",
  /** Not run, and the caller was told so. */
  Refused = "refused",
  /** No whole answer; it may have run. */
  Failed = "failed",
  CallerLeft = "caller_left",
}

/** Why a request was not answered with success. */
export enum RunReason {
  None = "none",
  NoBackend = "no_backend",
  NoRoom = "no_room",
  TooLate = "too_late",
  TooLarge = "too_large",
  NotExecuted = "not_executed",
  NoAnswer = "no_answer",
  Spoiled = "spoiled_answer",
  StreamCut = "stream_cut",
  TimedOut = "timed_out",
  Leaving = "entry_leaving",
}

/** The end of one request, for its log line and the counters. */
export interface RunOutcome {
  end: RunEnd;
  reason: RunReason;
  status: number;
  /** Calls to backend servers that may have run it. */
  attempts: number;
  /** The last backend server that was asked to run it. */
  backendId?: string;
  /** Until the first event, or the whole answer of a plain call. */
  firstByteMs?: number;
  events?: number;
  /** Longest pause between two events of a stream, in milliseconds. */
  longestGapMs?: number;
}

/** How the request for a reservation ended. */
export enum HoldEnd {
  Granted = "granted",
  /** The engine has no room for it. */
  NoRoom = "no_room",
  /** No answer, or not from this incarnation. */
  Unreachable = "unreachable",
}

export interface HoldResult {
  end: HoldEnd;
  holdId?: string;
  message?: string;
}

/** How the reading of a prompt ended. */
export interface PrefillReply {
  source: KvSource;
  tokens: number;
}

/** How the move of a running generation ended. */
export enum MoveEnd {
  /** The run has stopped and its memory lies at the target. */
  Moved = "moved",
  /** The run has stopped, and its memory stayed where it was. */
  Stayed = "stayed",
  /** The run goes on where it is, or has ended. */
  NotMoved = "not_moved",
  /** No answer: the run may have stopped. */
  Unknown = "unknown",
}

export interface MoveResult {
  end: MoveEnd;
  /** Where the memory of a stopped run can be taken. */
  source?: KvSource;
  message?: string;
}

/** Calls to a model engine that are no requests of callers. */
export interface EngineControl {
  /** Reserves a slot and memory for `ttlMs`. */
  takeHold(
    engine: Backend,
    tokens: number,
    ttlMs: number,
    signal: AbortSignal,
  ): Promise<HoldResult>;
  /** Gives a reservation back that was not used. */
  dropHold(engine: Backend, holdId: string): void;
  /** The result of a prefill call, or undefined when it can't be read. */
  readPrefill(engine: Backend, body: Buffer): PrefillReply | undefined;
  /** Frees a prefill result that is not used. */
  dropHandle(engine: Backend, handle: string): void;
  /** Stops a running generation and sends its memory to `target`. */
  moveRun(
    engine: Backend,
    requestId: string,
    target: Backend,
    signal: AbortSignal,
  ): Promise<MoveResult>;
  /** True when the engine answers on a new connection. */
  isAlive(engine: Backend, signal: AbortSignal): Promise<boolean>;
}

/** A generation that runs at an engine, for those who watch engines. */
export interface ActiveStream {
  /** The engine is leaving: goes on elsewhere if it would not end in time. */
  engineLeaves(): void;
}

/** Owners of state and interfaces that runs use. */
export interface RunContext {
  clock: Clock;
  log: Logger;
  random: Random;
  zone: string;
  codec: WireCodec;
  engines: EngineControl;
  upstream: Upstream;
  directory: BackendDirectory;
  health: HealthBook;
  book: EngineBook;
  metrics: GatewayMetrics;
  policy: GatewayPolicy;
  /** Calls in progress to plain backend servers, by incarnation. */
  inProgress: Map<string, number>;
  /** Running generations, by the incarnation of their engine. */
  activeStreams: Map<string, Set<ActiveStream>>;
  allowanceOf(service: string): RetryAllowance;
  estimateOf(route: string): OutputEstimate;
  workOf(service: string): StageWork;
}

/** Time left for a request, in milliseconds. */
export function remainingMs(ctx: RunContext, req: CallerRequest): number {
  return req.deadlineAtMs - ctx.clock.now();
}

/** Time since the request arrived, in milliseconds. */
export function ageMs(ctx: RunContext, req: CallerRequest): number {
  return ctx.clock.now() - req.arrivedMs;
}

/** Takes one repeated call from the allowance; false when none is left. */
export function takeRepeat(
  ctx: RunContext,
  req: CallerRequest,
  cause: string,
): boolean {
  const allowed = ctx.allowanceOf(req.service.name).take();
  if (allowed) ctx.metrics.repeats.inc({ cause });
  return allowed;
}

/**
 * Takes in that a backend server turned a request down as not meant for it:
 * another one has its address, or it has just changed its stage.
 */
export function noteMisdirected(
  ctx: RunContext,
  backend: Backend,
  answeredBy: string | undefined,
): void {
  const key = incarnationOf(backend);
  const replaced = answeredBy !== undefined && answeredBy !== backend.id;
  ctx.log("backend_misdirected", {
    backend: backend.id,
    answered_by: answeredBy,
  });
  if (replaced) ctx.health.replaced(key);
  else ctx.health.eject(key);
}

/**
 * Takes in how a call to a backend server ended; one that is ejected for it
 * gets no work for a while, and new connections after that.
 */
export function judgeBackend(
  ctx: RunContext,
  backend: Backend,
  verdict: CallVerdict,
  latencyMs: number,
): void {
  const key = incarnationOf(backend);
  const peers = () => ctx.directory.ready(backend.service).map(incarnationOf);
  if (!ctx.health.record(key, verdict, latencyMs, peers)) return;
  ctx.metrics.ejections.inc();
  const record = ctx.health.of(key);
  ctx.log("backend_ejected", {
    backend: backend.id,
    error_rate: Number(record.errorRate.toFixed(2)),
    for_ms: Math.round(record.ejectedUntilMs - ctx.clock.now()),
  });
  ctx.upstream.retire(backend);
}
