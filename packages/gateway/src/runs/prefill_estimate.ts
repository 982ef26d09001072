/**
 * Estimates how long prefills of one request take at an engine, and picks the
 * engine with the shortest wait.
 */
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import {
  pickPrefillEngine,
  prefillWaitMs,
} from "../decide/engine_placement.ts";
import {
  DECODE_PREFILL_FACTOR,
  planPrefill,
  type PrefillPlan,
} from "../decide/prefill_plan.ts";
import type { PrefillSpeedEstimator } from "../decide/prefill_speed.ts";
import { ofVersion } from "../versions/same_version.ts";
import { HOLD_TTL_MS, type Reservation } from "./decode_reservations.ts";
import { checkRateLimits } from "./rate_limit_check.ts";
import {
  ageMs,
  type CallerRequest,
  remainingMs,
  type RunContext,
} from "./run_context.ts";

/** Overhead of a prefill call beyond the prefill itself, in milliseconds. */
const PREFILL_OVERHEAD_MS = 40;
/** Time from the end of prefill to the first event, in milliseconds. */
export const FIRST_EVENT_MS = 90;
/**
 * A call that takes this many times its expected duration may be queued behind
 * prompts of other routers, or its engine may be dead: its liveness is checked.
 */
const SILENCE_FACTOR = 1.5;
const MIN_SILENCE_MS = 200;
/** Longest prefill, in milliseconds: the reservation expires after it. */
const MAX_CALL_MS = 1_500;

/** Time from a prefill's end until its reservation is used, at most, in ms. */
const HOLD_MARGIN_MS = 150;

/** Times after which a call is not waited for, in milliseconds. */
export interface PrefillTimeouts {
  /** Until a silent engine is checked. */
  silenceMs: number;
  /** Until the call is given up. */
  timeoutMs: number;
}

/** Estimates prefills of one request. */
export class PrefillEstimate {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;

  constructor(ctx: RunContext, req: CallerRequest) {
    this.#ctx = ctx;
    this.#req = req;
  }

  /**
   * Decides which stage prefills a prompt of so many tokens, and estimates how
   * long that takes: for a decode engine, or for any one near this router.
   */
  plan(
    promptTokens: number,
    engine: Backend | undefined,
    decodeEngine?: Backend,
  ): PrefillPlan {
    const zone = decodeEngine?.zone ?? this.#ctx.zone;
    const inputs = this.#inputs(zone);
    // The shortest of many estimated waits is mostly one that is outdated.
    const waitMs = engine &&
      Math.max(inputs.usualPrefillWaitMs, this.#waitMs(engine, zone));
    return planPrefill({
      prefillMs: this.#prefillMs(promptTokens),
      prefillWaitMs: waitMs,
      onTimeMs: this.#req.route.targetLatencyMs - FIRST_EVENT_MS -
        ageMs(this.#ctx, this.#req),
      overloadControl: this.#ctx.policy.overloadControl,
    });
  }

  /** Picks the engine with the shortest wait that is not excluded. */
  pick(
    decodeEngine: Backend | undefined,
    excluded: ReadonlySet<string>,
  ): Backend | undefined {
    const { directory, zone } = this.#ctx;
    const engines = ofVersion(
      directory.readyAt(this.#req.service.name, EngineStage.Prefill),
      decodeEngine?.version,
    );
    checkRateLimits(this.#ctx, engines);
    const inputs = this.#inputs(decodeEngine?.zone ?? zone);
    return pickPrefillEngine(
      engines,
      this.#speed.tokensPerMs,
      inputs,
      excluded,
    );
  }

  timeouts(
    engine: Backend,
    reservation: Reservation,
    tokens: number,
  ): PrefillTimeouts {
    const silenceMs = Math.max(
      MIN_SILENCE_MS,
      this.expectedMs(engine, tokens) * SILENCE_FACTOR,
    );
    const maxMs = this.#ctx.policy.overloadControl
      ? this.#maxPrefillMs(reservation, tokens)
      : Math.max(silenceMs, MAX_CALL_MS);
    const timeoutMs = Math.min(remainingMs(this.#ctx, this.#req), maxMs);
    return { silenceMs, timeoutMs };
  }

  /** Whether a prefill is expected to end before its reservation does. */
  fits(engine: Backend, reservation: Reservation, tokens: number): boolean {
    if (!this.#ctx.policy.overloadControl) return true;
    return this.expectedMs(engine, tokens) <
      this.#reservationLeftMs(reservation);
  }

  /**
   * Longest prefill under overload control, in milliseconds: until the decode
   * engine would be late if it did the prefill itself, and in any case until the
   * reservation is about to expire.
   */
  #maxPrefillMs(reservation: Reservation, tokens: number): number {
    const decodeMs = this.#prefillMs(tokens) * DECODE_PREFILL_FACTOR;
    const onTimeMs = this.#req.route.targetLatencyMs - FIRST_EVENT_MS -
      ageMs(this.#ctx, this.#req) - decodeMs;
    const leftMs = this.#reservationLeftMs(reservation);
    if (onTimeMs <= 0) return leftMs;
    return Math.min(leftMs, Math.max(MIN_SILENCE_MS, onTimeMs));
  }

  /** Time until a prefill must end for the reservation to be used, in ms. */
  #reservationLeftMs({ grantedAtMs }: Reservation): number {
    const endMs = grantedAtMs + HOLD_TTL_MS - HOLD_MARGIN_MS;
    return Math.max(MIN_SILENCE_MS, endMs - this.#ctx.clock.now());
  }

  /** Learns the engine's speed and queue from a successful prefill. */
  learn(engine: Backend, tokens: number, elapsedMs: number): void {
    this.#recordDelay(engine, tokens, elapsedMs);
    this.#speed.record(tokens, elapsedMs);
  }

  /** Learns the engine's queue from a prefill that was given up. */
  learnAbandoned(engine: Backend, tokens: number, elapsedMs: number): void {
    if (this.#ctx.policy.overloadControl) {
      this.#recordDelay(engine, tokens, elapsedMs);
    }
  }

  /** Expected duration of a prefill at the engine, its queue included, in ms. */
  expectedMs(engine: Backend, tokens: number): number {
    return this.#waitMs(engine, engine.zone) + this.#prefillMs(tokens);
  }

  #recordDelay(engine: Backend, tokens: number, elapsedMs: number): void {
    const { engineLoads } = this.#ctx;
    const key = incarnationOf(engine);
    const localQueueMs = engineLoads.loadOf(key).prefillTokens /
      this.#speed.tokensPerMs;
    const delayMs = elapsedMs - this.#prefillMs(tokens) - localQueueMs;
    engineLoads.recordPrefillDelay(key, delayMs);
    this.#ctx.prefillQueueOf(this.#req.service.name).record(delayMs);
  }

  get #speed(): PrefillSpeedEstimator {
    return this.#ctx.prefillSpeedOf(this.#req.service.name);
  }

  #waitMs(engine: Backend, zone: string): number {
    const { tokensPerMs } = this.#speed;
    return prefillWaitMs(engine, tokensPerMs, this.#inputs(zone));
  }

  /** Expected duration of a prefill without a queue, in milliseconds. */
  #prefillMs(tokens: number): number {
    return tokens / this.#speed.tokensPerMs + PREFILL_OVERHEAD_MS;
  }

  #inputs(zone: string) {
    const { clock, policy, prefillQueueOf } = this.#ctx;
    const usualPrefillWaitMs = policy.overloadControl
      ? prefillQueueOf(this.#req.service.name).waitMs
      : 0;
    return { ...this.#ctx, zone, nowMs: clock.now(), usualPrefillWaitMs };
  }
}
