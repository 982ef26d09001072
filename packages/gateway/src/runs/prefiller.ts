/**
 * Prefills a prompt at a prefill engine. The call is idempotent: while an engine
 * is silent, another one gets the prompt too, within the retry budget, and the
 * first result is used.
 */
import { childAbortController, sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import {
  pickPrefillEngine,
  prefillWaitMs,
} from "../decide/engine_placement.ts";
import { planPrefill, type PrefillPlan } from "../decide/prefill_plan.ts";
import type { PrefillSpeedEstimator } from "../decide/prefill_speed.ts";
import {
  exchange,
  ExchangeOutcome,
  type ExchangeResult,
} from "../http/exchange.ts";
import type { KvSource, PromptInfo } from "../http/wire_codec.ts";
import { ofVersion } from "../versions/same_version.ts";
import { recordPrefill } from "./crash_detection.ts";
import {
  firstResult,
  type PrefillCall,
  type PrefillResult,
} from "./prefill_calls.ts";
import { Liveness, recordSilent } from "./liveness.ts";
import { checkRateLimits } from "./rate_limit_check.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  type PrefillReply,
  quarantineMs,
  recordMisdirected,
  remainingMs,
  type RunContext,
  STATUS_MISDIRECTED,
  tryAcquireRetry,
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

/** Prefills the prompt of one request, at each engine once. */
export class Prefiller {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #prompt: PromptInfo;
  /** Engines that gave no result, or one that could not be fetched. */
  readonly #tried = new Set<string>();
  /** Number of calls that may have reached an engine. */
  #sentCalls = 0;

  constructor(ctx: RunContext, req: CallerRequest, prompt: PromptInfo) {
    this.#ctx = ctx;
    this.#req = req;
    this.#prompt = prompt;
  }

  /**
   * Prefills the prompt for a decode engine; undefined if no prefill engine did
   * so in time.
   */
  async prefill(
    decodeEngine: Backend,
    lastEventId: string | undefined,
    extraTokens: number,
    signal: AbortSignal,
  ): Promise<PrefillResult | undefined> {
    const tokens = this.#prompt.promptTokens + extraTokens;
    const calls: PrefillCall[] = [];
    let result: PrefillResult | undefined;
    while (
      !result && !signal.aborted && remainingMs(this.#ctx, this.#req) > 0
    ) {
      const engine = this.#pickNext(decodeEngine);
      if (!engine) break;
      calls.push(this.#start(engine, tokens, lastEventId, signal));
      result = await firstResult(calls);
    }
    for (const call of calls) {
      void call.result.then((late) => {
        if (late !== result) late?.discard();
      });
    }
    return result;
  }

  /** Returns an engine that wasn't tried, if another call is allowed. */
  #pickNext(decodeEngine: Backend): Backend | undefined {
    const engine = this.#pick(decodeEngine);
    if (!engine || quarantineMs(this.#ctx, this.#req) > 0) return undefined;
    const isRetry = this.#sentCalls > 0;
    if (isRetry && !tryAcquireRetry(this.#ctx, this.#req, "prefill")) {
      return undefined;
    }
    this.#tried.add(incarnationOf(engine));
    return engine;
  }

  /** Records a success for a prefill engine once a decode engine used its result. */
  recordUsed(engine: Backend): void {
    this.#ctx.health.record(
      incarnationOf(engine),
      CallOutcome.Good,
      0,
      () => [],
    );
  }

  /** Skips an engine from now on because its result could not be fetched. */
  exclude(engine: Backend): void {
    const key = incarnationOf(engine);
    this.#tried.add(key);
    this.#ctx.health.record(key, CallOutcome.NoResponse, 0, () => []);
  }

  /**
   * Decides which stage prefills the prompt, and estimates how long that takes:
   * for a decode engine, or for any one near this router.
   */
  plan(decodeEngine?: Backend): PrefillPlan {
    const engine = this.#pick(decodeEngine);
    const zone = decodeEngine?.zone ?? this.#ctx.zone;
    const { tokensPerMs } = this.#speed;
    return planPrefill({
      prefillMs: this.#prefillMs(this.#prompt.promptTokens),
      prefillWaitMs: engine &&
        prefillWaitMs(engine, tokensPerMs, this.#inputs(zone)),
      onTimeMs: this.#req.route.targetLatencyMs - FIRST_EVENT_MS -
        ageMs(this.#ctx, this.#req),
    });
  }

  get #speed(): PrefillSpeedEstimator {
    return this.#ctx.prefillSpeedOf(this.#req.service.name);
  }

  /** Expected duration of a prefill without a queue, in milliseconds. */
  #prefillMs(tokens: number): number {
    return tokens / this.#speed.tokensPerMs + PREFILL_OVERHEAD_MS;
  }

  #inputs(zone: string) {
    return { ...this.#ctx, zone, nowMs: this.#ctx.clock.now() };
  }

  #pick(decodeEngine: Backend | undefined): Backend | undefined {
    const { directory, zone } = this.#ctx;
    const engines = ofVersion(
      directory.readyAt(this.#req.service.name, EngineStage.Prefill),
      decodeEngine?.version,
    );
    checkRateLimits(this.#ctx, engines);
    const { tokensPerMs } = this.#speed;
    return pickPrefillEngine(
      engines,
      tokensPerMs,
      this.#inputs(decodeEngine?.zone ?? zone),
      this.#tried,
    );
  }

  #start(
    engine: Backend,
    tokens: number,
    lastEventId: string | undefined,
    signal: AbortSignal,
  ): PrefillCall {
    const call = childAbortController(signal);
    const { silenceMs, timeoutMs } = this.#timeouts(engine, tokens);
    let stoodStill = false;
    const stalled = this.#watch(engine, silenceMs, call);
    void stalled.then((isSilent) => stoodStill = isSilent);
    this.#sentCalls += 1;
    const sent = this.#send(
      engine,
      tokens,
      lastEventId,
      timeoutMs,
      call.signal,
    );
    const result = sent.then((end) => {
      call.abort();
      if (!stoodStill) this.#recordDuration(engine, tokens, end);
      return this.#evaluate(engine, end, signal);
    });
    return { result, stalled };
  }

  async #evaluate(
    engine: Backend,
    result: ExchangeResult,
    signal: AbortSignal,
  ): Promise<PrefillResult | undefined> {
    const ctx = this.#ctx;
    if (result.end === ExchangeOutcome.Failed && !result.sent) {
      this.#sentCalls -= 1;
    }
    ctx.metrics.prefill.observe(result.elapsedMs / 1000);
    const reply = this.#parse(engine, result);
    if (reply) {
      this.#tried.delete(incarnationOf(engine));
      return this.#createResult(engine, reply.source);
    }
    if (signal.aborted) return undefined;
    this.#recordFailure(engine, result);
    await recordPrefill(ctx, this.#req, engine, result, signal);
    return undefined;
  }

  async #send(
    engine: Backend,
    tokens: number,
    lastEventId: string | undefined,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    const key = incarnationOf(engine);
    ctx.rateLimits.charge(key);
    const finish = ctx.engineLoads.startPrefill(key, tokens);
    const result = await exchange(
      ctx.upstream,
      {
        backend: engine,
        method: req.method,
        path: req.target,
        headers: ctx.codec.buildBackendHeaders(req.headers, {
          remainingMs: remainingMs(ctx, req),
          backendId: engine.id,
          priority: req.route.priority,
          prefillOnly: true,
          lastEventId,
        }),
        body: req.body,
      },
      timeoutMs,
      signal,
    );
    finish();
    return result;
  }

  /** Time until a silent engine is checked, and until the call is given up. */
  #timeouts(
    engine: Backend,
    tokens: number,
  ): { silenceMs: number; timeoutMs: number } {
    const waitMs = prefillWaitMs(
      engine,
      this.#speed.tokensPerMs,
      this.#inputs(engine.zone),
    );
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

  /** Returns the engine's reply if the prefill succeeded. */
  #parse(engine: Backend, result: ExchangeResult): PrefillReply | undefined {
    const { codec, engines } = this.#ctx;
    if (result.end !== ExchangeOutcome.Answered || result.status !== 200) {
      return undefined;
    }
    const metadata = codec.parseResponse(result.status, result.headers);
    const { requestId } = this.#req.metadata;
    const verdict = classifyReply(result.status, metadata, requestId);
    return verdict === ReplyVerdict.Good
      ? engines.parsePrefill(engine, result.body)
      : undefined;
  }

  /**
   * True once the call is overdue and its engine silent, which may stand still.
   * A call to an engine that is gone is aborted.
   */
  async #watch(
    engine: Backend,
    silenceMs: number,
    call: AbortController,
  ): Promise<boolean> {
    await sleep(silenceMs, call.signal);
    if (call.signal.aborted) return false;
    const liveness = await this.#ctx.liveness.check(engine, {
      hasConnection: true,
    });
    if (call.signal.aborted) return false;
    if (liveness === Liveness.Gone) call.abort();
    if (liveness !== Liveness.Silent) return false;
    recordSilent(this.#ctx, engine);
    return true;
  }

  /** Learns the engine's speed and queue from a successful prefill. */
  #recordDuration(
    engine: Backend,
    tokens: number,
    result: ExchangeResult,
  ): void {
    if (!this.#parse(engine, result)) return;
    const ctx = this.#ctx;
    const key = incarnationOf(engine);
    const { elapsedMs } = result;
    const localQueueMs = ctx.engineLoads.loadOf(key).prefillTokens /
      this.#speed.tokensPerMs;
    ctx.engineLoads.recordPrefillDelay(
      key,
      elapsedMs - this.#prefillMs(tokens) - localQueueMs,
    );
    this.#speed.record(tokens, elapsedMs);
  }

  #recordFailure(
    engine: Backend,
    result: ExchangeResult,
  ): void {
    const ctx = this.#ctx;
    const answered = result.end === ExchangeOutcome.Answered;
    ctx.log("prefill_failed", {
      req: this.#req.metadata.requestId,
      backend: engine.id,
      ...(answered
        ? { status: result.status }
        : { failure: result.failure, timed_out: result.timedOut }),
      elapsed_ms: Math.round(result.elapsedMs),
    });
    const key = incarnationOf(engine);
    if (answered && result.status === STATUS_MISDIRECTED) {
      const metadata = ctx.codec.parseResponse(result.status, result.headers);
      recordMisdirected(ctx, engine, metadata.backendId, EngineStage.Decode);
      return;
    }
    if (answered) {
      ctx.engineLoads.recordPrefillDelay(key, result.elapsedMs);
      return;
    }
    if (result.timedOut) return recordSilent(ctx, engine);
    ctx.health.eject(key);
    ctx.upstream.retire(engine);
  }

  #createResult(engine: Backend, source: KvSource): PrefillResult {
    const ctx = this.#ctx;
    return {
      engine,
      source,
      completedAtMs: ctx.clock.now(),
      discard: () => {
        ctx.metrics.prefillsWasted.inc();
        ctx.engines.deleteKvHandle(engine, source.handle);
      },
    };
  }
}
