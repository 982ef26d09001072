/**
 * Queue before a prefill engine. Work waits here, not in the engine, until it
 * may begin, so that a cancelled or late prompt costs the engine nothing. The
 * engine is handed little more than it can begin at once, by priority.
 */
import {
  type Engine,
  type EnginePrefillResult,
  EngineStatus,
} from "@sassafrascleat/engine";
import {
  LATE_PRIORITY,
  type PrefillRequest,
  RefusalReason,
} from "@sassafrascleat/protocol";
import { type Clock, createLogger } from "@sassafrascleat/runtime";
import { attemptId, type AttemptRecord } from "./attempt_ledger.ts";
import type { EngineCanceller } from "./engine_canceller.ts";

const log = createLogger("sidecar:prefill");

/** What the scheduler works with. */
export interface PrefillSchedulerOptions {
  engine: Engine;
  canceller: EngineCanceller;
  clock: Clock;
  /** Prompt tokens handed to the engine ahead of need. */
  windowTokens: number;
  /** Prompt tokens that are not in the engine's prefix cache. */
  costOf(req: PrefillRequest): number;
  /** Rate that is assumed before one was measured, in tokens a second. */
  assumedRate(): number;
  /** Called when the engine did not answer. */
  onUnreachable(): void;
}

/** A finished prompt; times are of the sidecar's clock. */
export interface PrefillSuccess {
  done: true;
  handle: string;
  tokens: number;
  cachedTokens: number;
  expiresAtMs: number;
  queuedMs: number;
  ranMs: number;
}

export type PrefillOutcome =
  | PrefillSuccess
  | { done: false; reason: RefusalReason };

interface Job {
  req: PrefillRequest;
  record: AttemptRecord;
  cost: number;
  arrivedAtMs: number;
  readyAtMs: number;
  dropAtMs: number;
  settle(outcome: PrefillOutcome): void;
}

/** Orders prompts and hands them to the engine. */
export class PrefillScheduler {
  readonly #opts: PrefillSchedulerOptions;
  readonly #queue = new Set<Job>();
  readonly #working = new Set<Job>();
  #timer: NodeJS.Timeout | undefined;
  #measuredRate = 0;
  /** When the engine began with the work in hand, or last ended some. */
  #workingSinceMs = 0;

  constructor(opts: PrefillSchedulerOptions) {
    this.#opts = opts;
  }

  /** Measured rate, in prompt tokens a second. */
  get rate(): number {
    return this.#measuredRate || this.#opts.assumedRate();
  }

  /** Prompt tokens queued and in work. */
  get queuedTokens(): number {
    return this.#tokensFrom(-Infinity);
  }

  /** Prompt tokens queued and in work that can still meet their target. */
  get urgentTokens(): number {
    return this.#tokensFrom(LATE_PRIORITY + 1);
  }

  get queued(): number {
    return this.#queue.size;
  }

  get working(): number {
    return this.#working.size;
  }

  /** Queues a prompt; resolves when it was run, dropped or refused. */
  submit(record: AttemptRecord, req: PrefillRequest): Promise<PrefillOutcome> {
    const nowMs = this.#opts.clock.now();
    const patienceMs = req.startInMs + req.startWithinMs;
    if (this.#waitMs(req.priority) > patienceMs) {
      return Promise.resolve({ done: false, reason: RefusalReason.Full });
    }
    return new Promise((resolve) => {
      const job: Job = {
        req,
        record,
        cost: this.#opts.costOf(req),
        arrivedAtMs: nowMs,
        readyAtMs: nowMs + req.startInMs,
        dropAtMs: nowMs + patienceMs,
        settle: resolve,
      };
      this.#queue.add(job);
      record.stop.signal.addEventListener(
        "abort",
        () => this.#withdraw(job),
        { once: true },
      );
      this.#pump();
    });
  }

  /** Predicted time until new work of `priority` begins, in milliseconds. */
  #waitMs(priority: number): number {
    return this.#tokensFrom(priority) * 1000 / this.rate;
  }

  /** Tokens left of the work of `priority` or higher. */
  #tokensFrom(priority: number): number {
    const working = sumCost(this.#working, priority);
    const spentMs = this.#opts.clock.now() - this.#workingSinceMs;
    const left = Math.max(0, working - spentMs * this.rate / 1000);
    return sumCost(this.#queue, priority) + left;
  }

  /** Starts what may begin now and sets the timer for what comes next. */
  #pump(): void {
    const nowMs = this.#opts.clock.now();
    this.#dropLate(nowMs);
    for (let job = this.#next(nowMs); job; job = this.#next(nowMs)) {
      if (!this.#hasWindow(job)) break;
      this.#queue.delete(job);
      if (this.#working.size === 0) this.#workingSinceMs = nowMs;
      this.#working.add(job);
      void this.#run(job, nowMs - job.arrivedAtMs);
    }
    this.#schedule(nowMs);
  }

  #dropLate(nowMs: number): void {
    for (const job of [...this.#queue]) {
      if (job.dropAtMs >= nowMs || job.readyAtMs > nowMs) continue;
      this.#queue.delete(job);
      log("prefill_dropped", { request: attemptId(job.record) });
      job.settle({ done: false, reason: RefusalReason.Full });
    }
  }

  #next(nowMs: number): Job | undefined {
    let best: Job | undefined;
    for (const job of this.#queue) {
      if (job.readyAtMs > nowMs) continue;
      if (!best || job.req.priority > best.req.priority) best = job;
    }
    return best;
  }

  /** Work of lower priority takes no room: the engine interrupts it. */
  #hasWindow(job: Job): boolean {
    const ahead = sumCost(this.#working, job.req.priority);
    return ahead === 0 || ahead + job.cost <= this.#opts.windowTokens;
  }

  #schedule(nowMs: number): void {
    clearTimeout(this.#timer);
    let at = Infinity;
    for (const job of this.#queue) {
      at = Math.min(at, job.readyAtMs > nowMs ? job.readyAtMs : job.dropAtMs);
    }
    if (at === Infinity) return;
    const waitMs = Math.max(1, Math.ceil(at - nowMs));
    this.#timer = setTimeout(() => this.#pump(), waitMs);
  }

  async #run(job: Job, queuedMs: number): Promise<void> {
    const { engine, canceller } = this.#opts;
    const { req, record } = job;
    const id = attemptId(record);
    const result = await engine.prefill({
      id,
      model: req.model,
      prompt: req.prompt,
      generated: req.generated,
      promptTokens: req.promptTokens,
      pieceHashes: req.pieceHashes,
      priority: req.priority,
    }, record.stop.signal);
    this.#working.delete(job);
    this.#workingSinceMs = this.#opts.clock.now();
    const outcome = this.#outcomeOf(job, result, queuedMs);
    if (!outcome.done || record.stop.signal.aborted) void canceller.cancel(id);
    log("prefill_ended", {
      request: id,
      done: outcome.done,
      queued_ms: queuedMs,
    });
    job.settle(outcome);
    this.#pump();
  }

  #outcomeOf(
    job: Job,
    result: EnginePrefillResult,
    queuedMs: number,
  ): PrefillOutcome {
    if (result.status === EngineStatus.Ok) {
      this.#measure(result.tokens - result.cachedTokens, result.ranMs);
      const { handle, tokens, cachedTokens, ranMs } = result;
      const expiresAtMs = this.#opts.clock.now() + result.expiresInMs;
      const times = { expiresAtMs, queuedMs, ranMs };
      return { done: true, handle, tokens, cachedTokens, ...times };
    }
    if (job.record.stop.signal.aborted) {
      return { done: false, reason: job.record.refusal };
    }
    if (result.status === EngineStatus.Unreachable) this.#opts.onUnreachable();
    return { done: false, reason: refusalOf(result.status) };
  }

  #measure(tokens: number, ranMs: number): void {
    if (tokens <= 0 || ranMs <= 0) return;
    const rate = tokens * 1000 / ranMs;
    const known = this.#measuredRate;
    this.#measuredRate = known ? known * 0.9 + rate * 0.1 : rate;
  }

  /** Takes a cancelled prompt out of the queue. */
  #withdraw(job: Job): void {
    if (!this.#queue.delete(job)) return;
    job.settle({ done: false, reason: job.record.refusal });
    this.#schedule(this.#opts.clock.now());
  }
}

/** Cost of the jobs of `priority` or higher. */
function sumCost(jobs: ReadonlySet<Job>, priority: number): number {
  let tokens = 0;
  for (const job of jobs) {
    if (job.req.priority >= priority) tokens += job.cost;
  }
  return tokens;
}

function refusalOf(status: EngineStatus): RefusalReason {
  if (status === EngineStatus.Refused) return RefusalReason.Full;
  if (status === EngineStatus.Expired) return RefusalReason.GrantExpired;
  return RefusalReason.EngineDown;
}
