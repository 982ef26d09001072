/**
 * Admits requests: applies the customer's limits, sets the request's deadline
 * and creates its queue ticket. An admission is closed exactly once, however
 * the request ends.
 */
import type { Customer, Service } from "@sassafrascleat/config";
import type { NotRun, RequestClass } from "@sassafrascleat/protocol";
import type {
  AdmissionTicket,
  PlacementRequest,
  RateLimiter,
} from "@sassafrascleat/routing";
import { childAbortController } from "@sassafrascleat/runtime";
import {
  ANONYMOUS_CUSTOMER,
  ASSUMED_PREFILL_TOKENS_PER_MS,
  ASSUMED_TTFT_OVERHEAD_MS,
  MAX_TIMER_MS,
} from "../constants.ts";
import { AbortCause, Call } from "./call.ts";
import type { EntryContext } from "./context.ts";
import type { Lane } from "./lanes.ts";

/** A validated request. */
export interface AdmitInput {
  requestId: string;
  service: Service;
  lane: Lane;
  pool: string;
  customer: Customer | undefined;
  requestClass: RequestClass;
  promptTokens: number;
  maxOutputTokens: number;
  expectedOutputTokens: number;
  pieceHashes: string[];
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
}

/** An admitted request. */
export interface Admission {
  call: Call;
  ticket: AdmissionTicket;
  lane: Lane;
  /** Stops counting the request against limits and clears its deadline timer. */
  close(): void;
}

/** An admission, or a rejection, which counts against no limit. */
export type AdmitResult =
  | { admitted: true; admission: Admission }
  | { admitted: false; refused: NotRun };

/** Admits requests to the queue and counts those in flight. */
export class Admitter {
  readonly #ctx: EntryContext;
  readonly #limiter: RateLimiter;
  readonly #idleResolvers: (() => void)[] = [];
  #inFlight = 0;

  constructor(ctx: EntryContext, limiter: RateLimiter) {
    this.#ctx = ctx;
    this.#limiter = limiter;
  }

  /** Number of admitted requests that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  admit(input: AdmitInput): AdmitResult {
    const customer = input.customer?.name ?? ANONYMOUS_CUSTOMER;
    const limit = input.customer?.limit ?? input.lane.policy.limit;
    const nowMs = this.#ctx.clock.now();
    const refused = this.#limiter.acquire(customer, limit, nowMs);
    if (refused) return { admitted: false, refused };
    const admission = this.#createAdmission(input, customer, nowMs);
    return { admitted: true, admission };
  }

  /** Resolves when no request is in flight. */
  idle(): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleResolvers.push(resolve));
  }

  #createAdmission(
    input: AdmitInput,
    customer: string,
    nowMs: number,
  ): Admission {
    const { lane, service } = input;
    const controller = childAbortController(input.signal);
    const req = placementRequest(input, customer, nowMs);
    const timer = setTimeout(
      () => controller.abort(AbortCause.Deadline),
      Math.min(lane.policy.requestTimeoutMs, MAX_TIMER_MS),
    );
    this.#inFlight += 1;
    this.#ctx.metrics.inFlight.inc({ service: service.name });
    const call = new Call({
      service,
      policy: lane.policy,
      placement: lane.placement,
      pool: input.pool,
      req,
      signal: controller.signal,
    });
    const close = () => {
      clearTimeout(timer);
      controller.abort(AbortCause.Finished);
      this.#ctx.plannedPrefills.remove(req.requestId);
      this.#release(service.name, customer, lane);
    };
    return { call, ticket: createTicket(req, lane), lane, close };
  }

  #release(service: string, customer: string, lane: Lane): void {
    this.#limiter.release(customer);
    this.#ctx.metrics.inFlight.dec({ service });
    lane.dispatcher.wake();
    this.#inFlight -= 1;
    if (this.#inFlight > 0) return;
    for (const resolve of this.#idleResolvers.splice(0)) resolve();
  }
}

function placementRequest(
  input: AdmitInput,
  customer: string,
  nowMs: number,
): PlacementRequest {
  const { policy } = input.lane;
  return {
    requestId: input.requestId,
    customer,
    requestClass: input.requestClass,
    promptTokens: input.promptTokens,
    maxOutputTokens: input.maxOutputTokens,
    expectedOutputTokens: input.expectedOutputTokens,
    pieceHashes: input.pieceHashes,
    arrivedAtMs: nowMs,
    firstTokenDueMs: nowMs + policy.ttftTargetMs,
    deadlineMs: nowMs + policy.requestTimeoutMs,
    tbtTargetMs: policy.tbtTargetMs,
  };
}

function createTicket(req: PlacementRequest, lane: Lane): AdmissionTicket {
  const { arrivedAtMs } = req;
  const forecast = lane.placement.forecastPrefill?.(req, [], 0, arrivedAtMs);
  const expectedTokens = forecast?.expectedTokens ?? req.promptTokens;
  const workMs = expectedTokens / ASSUMED_PREFILL_TOKENS_PER_MS;
  return {
    requestId: req.requestId,
    customer: req.customer,
    requestClass: req.requestClass,
    arrivedAtMs,
    firstTokenDueMs: req.firstTokenDueMs,
    queueDeadlineMs: arrivedAtMs + lane.policy.maxQueueMs,
    workMs,
    expectedServiceMs: workMs + ASSUMED_TTFT_OVERHEAD_MS,
  };
}
