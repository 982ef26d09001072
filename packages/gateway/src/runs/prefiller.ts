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
import type { PrefillPlan } from "../decide/prefill_plan.ts";
import {
  exchange,
  ExchangeOutcome,
  type ExchangeResult,
} from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import type { KvSource, PromptInfo, RawHeaders } from "../http/wire_codec.ts";
import { recordPrefill } from "./crash_detection.ts";
import type { Reservation } from "./decode_reservations.ts";
import {
  firstResult,
  type PrefillCall,
  type PrefillResult,
} from "./prefill_calls.ts";
import { PrefillEstimate } from "./prefill_estimate.ts";
import { Liveness, recordSilent } from "./liveness.ts";
import { ejectBackend, recordOutcome } from "./record_outcome.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  type CallerRequest,
  type PrefillReply,
  quarantineMs,
  recordMisdirected,
  remainingMs,
  type RunContext,
  STATUS_MISDIRECTED,
  tryAcquireRetry,
} from "./run_context.ts";

/** Overhead of a prefill call beyond the prompt itself, in prompt tokens. */
const OVERHEAD_TOKENS = 1_000;

/** Prefills the prompt of one request, at each engine once. */
export class Prefiller {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #prompt: PromptInfo;
  readonly #estimate: PrefillEstimate;
  /** Engines that gave no result, or one that could not be fetched. */
  readonly #tried = new Set<string>();
  /** Number of calls that may have reached an engine. */
  #sentCalls = 0;

  constructor(ctx: RunContext, req: CallerRequest, prompt: PromptInfo) {
    this.#ctx = ctx;
    this.#req = req;
    this.#prompt = prompt;
    this.#estimate = new PrefillEstimate(ctx, req);
  }

  /**
   * Prefills the prompt for the decode engine of a reservation; undefined if no
   * prefill engine did so in time.
   */
  async prefill(
    reservation: Reservation,
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
      const engine = this.#pickNext(reservation, tokens);
      if (!engine) break;
      calls.push(this.#start(engine, reservation, tokens, lastEventId, signal));
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
  #pickNext(reservation: Reservation, tokens: number): Backend | undefined {
    const engine = this.#estimate.pick(reservation.engine, this.#tried);
    if (!engine || quarantineMs(this.#ctx, this.#req) > 0) return undefined;
    const isRetry = this.#sentCalls > 0;
    if (isRetry && !this.#estimate.fits(engine, reservation, tokens)) {
      return undefined;
    }
    if (isRetry && !tryAcquireRetry(this.#ctx, this.#req, "prefill")) {
      return undefined;
    }
    this.#tried.add(incarnationOf(engine));
    return engine;
  }

  /** Records a success for a prefill engine once a decode engine used its result. */
  recordUsed({ engine, normalizedMs }: PrefillResult): void {
    recordOutcome(this.#ctx, engine, CallOutcome.Good, normalizedMs);
  }

  /** Skips an engine from now on because its result could not be fetched. */
  exclude(engine: Backend): void {
    this.#tried.add(incarnationOf(engine));
    recordOutcome(this.#ctx, engine, CallOutcome.NoResponse, 0);
  }

  /**
   * Decides which stage prefills the prompt, and estimates how long that takes:
   * for a decode engine, or for any one near this router.
   */
  plan(decodeEngine?: Backend): PrefillPlan {
    const engine = this.#estimate.pick(decodeEngine, this.#tried);
    return this.#estimate.plan(this.#prompt.promptTokens, engine, decodeEngine);
  }

  #start(
    engine: Backend,
    reservation: Reservation,
    tokens: number,
    lastEventId: string | undefined,
    signal: AbortSignal,
  ): PrefillCall {
    const call = childAbortController(signal);
    const { silenceMs, timeoutMs } = this.#estimate.timeouts(
      engine,
      reservation,
      tokens,
    );
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
      if (!stoodStill) this.#learn(engine, tokens, end);
      return this.#evaluate(engine, tokens, end, signal);
    });
    return { result, stalled };
  }

  #learn(engine: Backend, tokens: number, end: ExchangeResult): void {
    if (this.#parse(engine, end)) {
      this.#estimate.learn(engine, tokens, end.elapsedMs);
    } else if (end.end === ExchangeOutcome.Failed && end.timedOut) {
      this.#estimate.learnAbandoned(engine, tokens, end.elapsedMs);
    }
  }

  async #evaluate(
    engine: Backend,
    tokens: number,
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
      const normalizedMs = normalize(result.elapsedMs, tokens);
      return this.#createResult(engine, reply.source, normalizedMs);
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
    const expectedMs = this.#estimate.expectedMs(engine, tokens);
    const finish = ctx.engineLoads.startPrefill(key, tokens, expectedMs);
    const result = await exchange(
      ctx.upstream,
      {
        backend: engine,
        method: req.method,
        path: req.target,
        headers: ctx.codec.buildBackendHeaders(req.headers, {
          remainingMs: remainingMs(ctx, req),
          backendId: engine.id,
          priority: req.enginePriority,
          customer: req.customerDirective,
          prefillOnly: true,
          lastEventId,
        }),
        body: req.body,
      },
      timeoutMs,
      signal,
      (status, headers) =>
        this.#classify(status, headers) !== ReplyVerdict.InvalidResponse,
    );
    finish();
    return result;
  }

  /** Returns the engine's reply if the prefill succeeded. */
  #parse(engine: Backend, result: ExchangeResult): PrefillReply | undefined {
    if (result.end !== ExchangeOutcome.Answered || result.status !== 200) {
      return undefined;
    }
    const verdict = this.#classify(result.status, result.headers);
    return verdict === ReplyVerdict.Good
      ? this.#ctx.engines.parsePrefill(engine, result.body)
      : undefined;
  }

  #classify(status: number, headers: RawHeaders): ReplyVerdict {
    const metadata = this.#ctx.codec.parseResponse(status, headers);
    return classifyReply(status, metadata, this.#req.metadata.requestId);
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
      ctx.pace.record(engine, CallOutcome.NotExecuted, result.elapsedMs);
      return;
    }
    if (result.timedOut) return recordSilent(ctx, engine);
    if (result.failure === CallFailure.InvalidResponse) {
      // Its connection is closed already; others of the engine may be sound.
      recordOutcome(ctx, engine, CallOutcome.NoResponse, 0);
      return;
    }
    ejectBackend(ctx, engine);
    ctx.upstream.retire(engine);
  }

  #createResult(
    engine: Backend,
    source: KvSource,
    normalizedMs: number,
  ): PrefillResult {
    const ctx = this.#ctx;
    return {
      engine,
      source,
      completedAtMs: ctx.clock.now(),
      normalizedMs,
      discard: () => {
        ctx.metrics.prefillsWasted.inc();
        ctx.engines.deleteKvHandle(engine, source.handle);
      },
    };
  }
}

/** Makes times of prompts of different sizes comparable: for 1,000 tokens. */
function normalize(elapsedMs: number, tokens: number): number {
  return elapsedMs * 1_000 / (Math.max(0, tokens) + OVERHEAD_TOKENS);
}
