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
import { planPrefill, type PrefillPlan } from "../decide/prefill_plan.ts";
import type { PrefillSpeedEstimator } from "../decide/prefill_speed.ts";
import { ofVersion } from "../versions/same_version.ts";
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
    return planPrefill({
      prefillMs: this.#prefillMs(promptTokens),
      prefillWaitMs: engine && this.#waitMs(engine, zone),
      onTimeMs: this.#req.route.targetLatencyMs - FIRST_EVENT_MS -
        ageMs(this.#ctx, this.#req),
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

  timeouts(engine: Backend, tokens: number): PrefillTimeouts {
    const waitMs = this.#waitMs(engine, engine.zone);
    const silenceMs = Math.max(
      MIN_SILENCE_MS,
      (waitMs + this.#prefillMs(tokens)) * SILENCE_FACTOR,
    );
    const timeoutMs = Math.min(
      remainingMs(this.#ctx, this.#req),
      Math.max(silenceMs, MAX_CALL_MS),
    );
    return { silenceMs, timeoutMs };
  }

  /** Learns the engine's speed and queue from a successful prefill. */
  learn(engine: Backend, tokens: number, elapsedMs: number): void {
    const { engineLoads } = this.#ctx;
    const key = incarnationOf(engine);
    const localQueueMs = engineLoads.loadOf(key).prefillTokens /
      this.#speed.tokensPerMs;
    engineLoads.recordPrefillDelay(
      key,
      elapsedMs - this.#prefillMs(tokens) - localQueueMs,
    );
    this.#speed.record(tokens, elapsedMs);
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
    return { ...this.#ctx, zone, nowMs: this.#ctx.clock.now() };
  }
}
