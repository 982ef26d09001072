/**
 * The reading of a prompt at a prefill engine. The call may be repeated, so a
 * slow or silent engine costs only time: the next one is asked within the retry
 * allowance.
 */
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { CallVerdict } from "../decide/backend_health.ts";
import { pickPrefillEngine, readWaitMs } from "../decide/engine_placement.ts";
import { planRead, type ReadPlan } from "../decide/read_plan.ts";
import { exchange, ExchangeEnd } from "../http/exchange.ts";
import type { KvSource, PromptShape } from "../http/wire_codec.ts";
import { judgeReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  noteMisdirected,
  remainingMs,
  type RunContext,
  takeRepeat,
} from "./run_context.ts";

/** A prompt that was read and whose result can be taken. */
export interface ReadPrompt {
  engine: Backend;
  source: KvSource;
  /** When the result was made, in milliseconds of the process clock. */
  readAtMs: number;
  /** Frees the result if it was not taken. */
  drop(): void;
}

/** Time of a prefill call beside reading, in milliseconds. */
export const READ_OVERHEAD_MS = 40;
/** Time from the end of reading to the first event, in milliseconds. */
export const FIRST_EVENT_MS = 90;
/** A call that takes this many times as long as expected is given up. */
const TIMEOUT_FACTOR = 3;
const SHORTEST_TIMEOUT_MS = 350;

/** Reads prompts of one request; remembers which engines failed. */
export class PromptReader {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #prompt: PromptShape;
  readonly #failed = new Set<string>();
  /** Calls that may have reached an engine. */
  #arrived = 0;

  constructor(ctx: RunContext, req: CallerRequest, prompt: PromptShape) {
    this.#ctx = ctx;
    this.#req = req;
    this.#prompt = prompt;
  }

  /**
   * Reads the prompt for an engine in `zone`; undefined when no prefill engine
   * did in time.
   */
  async read(
    zone: string,
    lastEventId: string | undefined,
    extraTokens: number,
    signal: AbortSignal,
  ): Promise<ReadPrompt | undefined> {
    while (!signal.aborted && remainingMs(this.#ctx, this.#req) > 0) {
      const engine = this.#pick(zone);
      if (!engine) return undefined;
      const repeated = this.#arrived > 0;
      if (repeated && !takeRepeat(this.#ctx, this.#req, "prefill")) {
        return undefined;
      }
      const tokens = this.#prompt.promptTokens + extraTokens;
      const read = await this.#call(engine, tokens, lastEventId, signal);
      if (read) return read;
      this.#failed.add(incarnationOf(engine));
    }
    return undefined;
  }

  /** A result counts for its engine only when a decode engine took it. */
  taken(engine: Backend): void {
    this.#ctx.health.record(
      incarnationOf(engine),
      CallVerdict.Good,
      0,
      () => [],
    );
  }

  /** An engine whose result could not be taken isn't asked again. */
  exclude(engine: Backend): void {
    const key = incarnationOf(engine);
    this.#failed.add(key);
    this.#ctx.health.record(key, CallVerdict.Silent, 0, () => []);
  }

  /** Who should read the prompt now, and how long it would take. */
  plan(zone = this.#ctx.zone): ReadPlan {
    const engine = this.#pick(zone);
    const speed = this.#ctx.policy.readTokensPerMs;
    return planRead({
      readMs: this.#prompt.promptTokens / speed + READ_OVERHEAD_MS,
      prefillWaitMs: engine && readWaitMs(engine, speed, this.#inputs(zone)),
      onTimeMs: this.#req.route.targetLatencyMs - FIRST_EVENT_MS -
        ageMs(this.#ctx, this.#req),
    });
  }

  #inputs(zone: string) {
    return { ...this.#ctx, zone, nowMs: this.#ctx.clock.now() };
  }

  #pick(zone: string): Backend | undefined {
    const engines = this.#ctx.directory.readyAt(
      this.#req.service.name,
      EngineStage.Prefill,
    );
    const speed = this.#ctx.policy.readTokensPerMs;
    return pickPrefillEngine(engines, speed, this.#inputs(zone), this.#failed);
  }

  async #call(
    engine: Backend,
    tokens: number,
    lastEventId: string | undefined,
    signal: AbortSignal,
  ): Promise<ReadPrompt | undefined> {
    const ctx = this.#ctx;
    const req = this.#req;
    const key = incarnationOf(engine);
    const speed = ctx.policy.readTokensPerMs;
    const waitMs = readWaitMs(engine, speed, this.#inputs(engine.zone));
    const ownMs = tokens / speed + READ_OVERHEAD_MS;
    const timeoutMs = Math.min(
      remainingMs(ctx, req),
      Math.max(SHORTEST_TIMEOUT_MS, (waitMs + ownMs) * TIMEOUT_FACTOR),
    );
    const finish = ctx.book.startReading(key, tokens);
    const result = await exchange(
      ctx.upstream,
      {
        backend: engine,
        method: req.method,
        path: req.target,
        headers: ctx.codec.toBackend(req.headers, {
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
    if (result.end === ExchangeEnd.Answered || result.sent) this.#arrived += 1;
    ctx.metrics.prefill.observe(result.elapsedMs / 1000);
    if (result.end === ExchangeEnd.Answered) {
      const facts = ctx.codec.readReply(result.status, result.headers);
      const reply = result.status === 200 &&
          judgeReply(result.status, facts, req.facts.requestId) ===
            ReplyVerdict.Good
        ? ctx.engines.readPrefill(engine, result.body)
        : undefined;
      if (reply) {
        this.#good(key, result.elapsedMs, ownMs);
        return this.#readPrompt(engine, reply.source);
      }
    }
    if (!signal.aborted) this.#bad(engine, result);
    return undefined;
  }

  #good(key: string, elapsedMs: number, ownMs: number): void {
    const ctx = this.#ctx;
    const ownQueueMs = ctx.book.of(key).readingTokens /
      ctx.policy.readTokensPerMs;
    ctx.book.recordReadDelay(key, elapsedMs - ownMs - ownQueueMs);
  }

  #bad(engine: Backend, result: Awaited<ReturnType<typeof exchange>>): void {
    const ctx = this.#ctx;
    const answered = result.end === ExchangeEnd.Answered;
    ctx.log("prefill_failed", {
      req: this.#req.facts.requestId,
      backend: engine.id,
      ...(answered
        ? { status: result.status }
        : { failure: result.failure, timed_out: result.timedOut }),
      elapsed_ms: Math.round(result.elapsedMs),
    });
    const key = incarnationOf(engine);
    if (answered && result.status === 421) {
      const facts = ctx.codec.readReply(421, result.headers);
      noteMisdirected(ctx, engine, facts.backendId);
      return;
    }
    if (answered) {
      ctx.book.recordReadDelay(key, result.elapsedMs);
      return;
    }
    ctx.health.eject(key);
    ctx.upstream.retire(engine);
  }

  #readPrompt(engine: Backend, source: KvSource): ReadPrompt {
    const ctx = this.#ctx;
    return {
      engine,
      source,
      readAtMs: ctx.clock.now(),
      drop: () => {
        ctx.metrics.prefillsWasted.inc();
        ctx.engines.dropHandle(engine, source.handle);
      },
    };
  }
}
