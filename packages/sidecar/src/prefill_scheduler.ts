/**
 * Queue in front of a prefill engine. Prompts wait here rather than in the
 * engine, so that a cancelled or late prompt costs the engine nothing. The
 * engine receives, by priority, only slightly more work than it can start at
 * once.
 */
import {
  type Engine,
  type EnginePrefillResult,
  EngineStatus,
} from "@sassafrascleat/engine";
import {
  MAX_LATE_PRIORITY,
  type PrefillRequest,
  RefusalReason,
} from "@sassafrascleat/protocol";
import { type Clock, createLogger } from "@sassafrascleat/runtime";
import { attemptId, type AttemptRecord } from "./attempt_ledger.ts";
import type { EngineCanceller } from "./engine_canceller.ts";

const log = createLogger("sidecar:prefill");

/** Options of a `PrefillScheduler`. */
export interface PrefillSchedulerOptions {
  engine: Engine;
  canceller: EngineCanceller;
  clock: Clock;
  /**
   * Maximum prompt tokens handed to the engine at once; one larger prompt is
   * allowed.
   */
  windowTokens: number;
  /**
   * Returns the number of prompt tokens that the engine's prefix cache doesn't
   * have.
   */
  costOf(req: PrefillRequest): number;
  /** Rate assumed until one is measured, in tokens per second. */
  assumedRate(): number;
  /** Called when the engine can't be reached. */
  onUnreachable(): void;
}

/** Result of a completed prefill; times are of the sidecar's clock. */
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

/**
 * Base of the priorities of prompts with a due time, from which that time is
 * subtracted.
 */
const DUE_PRIORITY_BASE = 2 ** 40;

/**
 * Gives an earlier due time a higher priority; late prompts keep the requested
 * one.
 */
function enginePriority(req: PrefillRequest, nowMs: number): number {
  const late = req.priority <= MAX_LATE_PRIORITY;
  if (late || req.dueInMs === undefined) return req.priority;
  return DUE_PRIORITY_BASE - Math.round(nowMs + req.dueInMs);
}

interface Job {
  req: PrefillRequest;
  priority: number;
  record: AttemptRecord;
  cost: number;
  /** Estimate of the part of `cost` that the engine hasn't processed yet. */
  remainingTokens: number;
  arrivedAtMs: number;
  readyAtMs: number;
  dropAtMs: number;
  /**
   * Time by which the prefill should be completed; infinite without a due time.
   */
  dueAtMs: number;
  settle(outcome: PrefillOutcome): void;
}

/** Orders prompts by priority and sends them to the engine. */
export class PrefillScheduler {
  readonly #opts: PrefillSchedulerOptions;
  readonly #queue = new Set<Job>();
  readonly #running = new Set<Job>();
  #timer: NodeJS.Timeout | undefined;
  #measuredRate = 0;
  /** Time up to which the engine's progress has been estimated. */
  #advancedAtMs = 0;

  constructor(opts: PrefillSchedulerOptions) {
    this.#opts = opts;
  }

  /** Measured or assumed rate, in prompt tokens per second. */
  get rate(): number {
    return this.#measuredRate || this.#opts.assumedRate();
  }

  /** Prompt tokens that are queued or running. */
  get queuedTokens(): number {
    return this.#remainingTokens(-Infinity);
  }

  /**
   * Prompt tokens that are queued or running and can still meet their target.
   */
  get urgentTokens(): number {
    return this.#remainingTokens(MAX_LATE_PRIORITY + 1);
  }

  get queued(): number {
    return this.#queue.size;
  }

  get running(): number {
    return this.#running.size;
  }

  /** Queues a prompt; resolves when it has been run, dropped or refused. */
  submit(record: AttemptRecord, req: PrefillRequest): Promise<PrefillOutcome> {
    const nowMs = this.#opts.clock.now();
    const maxWaitMs = req.startInMs + req.startWithinMs;
    const priority = enginePriority(req, nowMs);
    if (this.#predictWaitMs(priority) > maxWaitMs) {
      return Promise.resolve({ done: false, reason: RefusalReason.Full });
    }
    return new Promise((resolve) => {
      const cost = this.#opts.costOf(req);
      const job: Job = {
        req,
        priority,
        record,
        cost,
        remainingTokens: cost,
        arrivedAtMs: nowMs,
        readyAtMs: nowMs + req.startInMs,
        dropAtMs: nowMs + maxWaitMs,
        dueAtMs: nowMs + (req.dueInMs ?? Infinity),
        settle: resolve,
      };
      this.#queue.add(job);
      record.stop.signal.addEventListener(
        "abort",
        () => this.#removeCancelled(job),
        { once: true },
      );
      this.#dispatch();
    });
  }

  /**
   * Predicts the time until a new prompt of `priority` starts, in milliseconds.
   */
  #predictWaitMs(priority: number): number {
    return this.#remainingTokens(priority) * 1000 / this.rate;
  }

  /** Remaining tokens of prompts of `priority` or higher. */
  #remainingTokens(priority: number): number {
    this.#updateProgress(this.#opts.clock.now());
    let tokens = 0;
    for (const job of [...this.#queue, ...this.#running]) {
      if (job.priority >= priority) tokens += job.remainingTokens;
    }
    return tokens;
  }

  /**
   * Estimates what the engine has processed since the last call, assuming that
   * it runs the highest priority first.
   */
  #updateProgress(nowMs: number): void {
    let done = (nowMs - this.#advancedAtMs) * this.rate / 1000;
    this.#advancedAtMs = nowMs;
    const runningJobs = [...this.#running];
    runningJobs.sort((a, b) => b.priority - a.priority);
    for (const job of runningJobs) {
      const processed = Math.min(job.remainingTokens, done);
      job.remainingTokens -= processed;
      done -= processed;
    }
  }

  /**
   * Sends prompts that may start now to the engine and sets the timer for the
   * next ones.
   */
  #dispatch(): void {
    const nowMs = this.#opts.clock.now();
    this.#dropLate(nowMs);
    this.#demoteLate(nowMs);
    for (let job = this.#next(nowMs); job; job = this.#next(nowMs)) {
      if (!this.#fitsWindow(job)) break;
      this.#updateProgress(nowMs);
      this.#queue.delete(job);
      this.#running.add(job);
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

  /** Lowers the priority of prompts that can no longer be completed in time. */
  #demoteLate(nowMs: number): void {
    for (const job of this.#queue) {
      const endMs = nowMs + job.cost * 1000 / this.rate;
      if (endMs <= job.dueAtMs) continue;
      job.priority = Math.min(job.priority, MAX_LATE_PRIORITY);
    }
  }

  #next(nowMs: number): Job | undefined {
    let best: Job | undefined;
    for (const job of this.#queue) {
      if (job.readyAtMs > nowMs) continue;
      if (!best || job.priority > best.priority) best = job;
    }
    return best;
  }

  /**
   * Lower priorities don't count towards the window: the engine preempts them.
   */
  #fitsWindow(job: Job): boolean {
    const ahead = sumCost(this.#running, job.priority);
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
    this.#timer = setTimeout(() => this.#dispatch(), waitMs);
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
      priority: job.priority,
    }, record.stop.signal);
    this.#updateProgress(this.#opts.clock.now());
    this.#running.delete(job);
    const outcome = this.#outcomeOf(job, result, queuedMs);
    if (!outcome.done || record.stop.signal.aborted) void canceller.cancel(id);
    log("prefill_ended", {
      request: id,
      done: outcome.done,
      queued_ms: queuedMs,
    });
    job.settle(outcome);
    this.#dispatch();
  }

  #outcomeOf(
    job: Job,
    result: EnginePrefillResult,
    queuedMs: number,
  ): PrefillOutcome {
    if (result.status === EngineStatus.Ok) {
      this.#updateRate(result.tokens - result.cachedTokens, result.ranMs);
      const { handle, tokens, cachedTokens, ranMs } = result;
      const expiresAtMs = this.#opts.clock.now() + result.expiresInMs;
      const times = { expiresAtMs, queuedMs, ranMs };
      return { done: true, handle, tokens, cachedTokens, ...times };
    }
    if (job.record.stop.signal.aborted) {
      return { done: false, reason: job.record.refusal };
    }
    if (result.status === EngineStatus.Unreachable) this.#opts.onUnreachable();
    return { done: false, reason: refusalForStatus(result.status) };
  }

  #updateRate(tokens: number, ranMs: number): void {
    if (tokens <= 0 || ranMs <= 0) return;
    const rate = tokens * 1000 / ranMs;
    const known = this.#measuredRate;
    this.#measuredRate = known ? known * 0.9 + rate * 0.1 : rate;
  }

  /** Removes a cancelled prompt from the queue. */
  #removeCancelled(job: Job): void {
    if (!this.#queue.delete(job)) return;
    job.settle({ done: false, reason: job.record.refusal });
    this.#schedule(this.#opts.clock.now());
  }
}

/** Sums the costs of the jobs of `priority` or higher. */
function sumCost(jobs: ReadonlySet<Job>, priority: number): number {
  let tokens = 0;
  for (const job of jobs) {
    if (job.priority >= priority) tokens += job.cost;
  }
  return tokens;
}

function refusalForStatus(status: EngineStatus): RefusalReason {
  if (status === EngineStatus.Refused) return RefusalReason.Full;
  if (status === EngineStatus.Expired) return RefusalReason.GrantExpired;
  return RefusalReason.EngineDown;
}
