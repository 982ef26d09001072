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

/** Above the priorities of all work that is ordered by its due time. */
const DUE_PRIORITY_BASE = 2 ** 40;

/** Earlier due work has the higher priority; what is late keeps its own. */
function priorityAt(req: PrefillRequest, nowMs: number): number {
  const late = req.priority <= LATE_PRIORITY;
  if (late || req.dueInMs === undefined) return req.priority;
  return DUE_PRIORITY_BASE - Math.round(nowMs + req.dueInMs);
}

interface Job {
  req: PrefillRequest;
  priority: number;
  record: AttemptRecord;
  cost: number;
  /** The part of `cost` that the engine has probably not done yet. */
  left: number;
  arrivedAtMs: number;
  readyAtMs: number;
  dropAtMs: number;
  /** When the work should be done; infinite without a due time. */
  dueAtMs: number;
  settle(outcome: PrefillOutcome): void;
}

/** Orders prompts and hands them to the engine. */
export class PrefillScheduler {
  readonly #opts: PrefillSchedulerOptions;
  readonly #queue = new Set<Job>();
  readonly #working = new Set<Job>();
  #timer: NodeJS.Timeout | undefined;
  #measuredRate = 0;
  /** Time up to which the engine's progress was estimated. */
  #advancedAtMs = 0;

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
    const priority = priorityAt(req, nowMs);
    if (this.#waitMs(priority) > patienceMs) {
      return Promise.resolve({ done: false, reason: RefusalReason.Full });
    }
    return new Promise((resolve) => {
      const cost = this.#opts.costOf(req);
      const job: Job = {
        req,
        priority,
        record,
        cost,
        left: cost,
        arrivedAtMs: nowMs,
        readyAtMs: nowMs + req.startInMs,
        dropAtMs: nowMs + patienceMs,
        dueAtMs: nowMs + (req.dueInMs ?? Infinity),
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
    this.#advance(this.#opts.clock.now());
    let tokens = 0;
    for (const job of [...this.#queue, ...this.#working]) {
      if (job.priority >= priority) tokens += job.left;
    }
    return tokens;
  }

  /** Estimates what the engine did since the last call, highest priority first. */
  #advance(nowMs: number): void {
    let done = (nowMs - this.#advancedAtMs) * this.rate / 1000;
    this.#advancedAtMs = nowMs;
    const working = [...this.#working];
    working.sort((a, b) => b.priority - a.priority);
    for (const job of working) {
      const part = Math.min(job.left, done);
      job.left -= part;
      done -= part;
    }
  }

  /** Starts what may begin now and sets the timer for what comes next. */
  #pump(): void {
    const nowMs = this.#opts.clock.now();
    this.#dropLate(nowMs);
    this.#demoteLate(nowMs);
    for (let job = this.#next(nowMs); job; job = this.#next(nowMs)) {
      if (!this.#hasWindow(job)) break;
      this.#advance(nowMs);
      this.#queue.delete(job);
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

  /** Work that can't end in time any more yields to what still can. */
  #demoteLate(nowMs: number): void {
    for (const job of this.#queue) {
      const endMs = nowMs + job.cost * 1000 / this.rate;
      if (endMs <= job.dueAtMs) continue;
      job.priority = Math.min(job.priority, LATE_PRIORITY);
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

  /** Work of lower priority takes no room: the engine interrupts it. */
  #hasWindow(job: Job): boolean {
    const ahead = sumCost(this.#working, job.priority);
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
      priority: job.priority,
    }, record.stop.signal);
    this.#advance(this.#opts.clock.now());
    this.#working.delete(job);
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
    if (job.priority >= priority) tokens += job.cost;
  }
  return tokens;
}

function refusalOf(status: EngineStatus): RefusalReason {
  if (status === EngineStatus.Refused) return RefusalReason.Full;
  if (status === EngineStatus.Expired) return RefusalReason.GrantExpired;
  return RefusalReason.EngineDown;
}
