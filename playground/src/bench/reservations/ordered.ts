/**
 * Simulates the ordered reservations that the router uses: a request first
 * reserves a decode slot, which the sidecar's `CapacityLedger` grants in advance
 * and which expires if it is not used. Its prefill is then scheduled to end when
 * the slot becomes free.
 */
import { RequestClass } from "@sassafrascleat/protocol";
import {
  CapacityLedger,
  ReservationResult,
  ReservationState,
} from "@sassafrascleat/sidecar";
import { PrefillPool } from "./prefill_pool.ts";
import { EventScheduler } from "./event_scheduler.ts";
import {
  DECODE_ENGINES,
  type Job,
  LINK_TOKENS_PER_MS,
  PREFILL_TOKENS_PER_MS,
  REQUEST_TIMEOUT_MS,
  RESULT_LIFETIME_MS,
  Score,
  SLOTS,
  STEP_MS,
} from "./workload.ts";

const MAX_WAIT_MS = 1_500;
const RETRY_DELAY_MS = 100;
const POLL_INTERVAL_MS = 5;
const GRANT_TTL_MS = 5_000;
const EXPECTED_TOKENS = 100;
const TOTAL_PIECES = 400;

interface Engine {
  ledger: CapacityLedger;
  startedAtMs: Map<string, number>;
}

/**
 * Runs the jobs with prefills scheduled to end `earlyMs` before their decode
 * slots become free.
 */
export function runOrdered(
  jobs: readonly Job[],
  untilMs: number,
  earlyMs: number,
): Score {
  const simulation = new OrderedSimulation(earlyMs);
  for (const job of jobs) {
    simulation.scheduler.after(
      job.arrivedAtMs,
      () => simulation.reserve(job),
    );
  }
  simulation.scheduler.run(untilMs);
  return simulation.score;
}

class OrderedSimulation {
  readonly scheduler = new EventScheduler();
  readonly score = new Score();
  readonly #earlyMs: number;
  readonly #prefills = new PrefillPool(this.scheduler, this.score);
  readonly #engines: Engine[] = Array.from(
    { length: DECODE_ENGINES },
    () => this.#createEngine(),
  );

  constructor(earlyMs: number) {
    this.#earlyMs = earlyMs;
  }

  /**
   * Reserves a slot at the least loaded engine that grants one; retries if all
   * refuse.
   */
  reserve(job: Job): void {
    const { nowMs } = this.scheduler;
    if (nowMs - job.arrivedAtMs > REQUEST_TIMEOUT_MS) {
      this.score.timedOut++;
      return;
    }
    const byLoad = [...this.#engines].sort((a, b) => load(a) - load(b));
    for (const engine of byLoad) {
      const reply = engine.ledger.reserve(
        {
          id: String(job.id),
          requestClass: RequestClass.Standard,
          promptTokens: job.promptTokens,
          expectedTokens: EXPECTED_TOKENS,
          maxTokens: EXPECTED_TOKENS,
        },
        MAX_WAIT_MS,
        nowMs,
      );
      if (reply.result !== ReservationResult.Granted) continue;
      return this.#schedulePrefill(job, engine, reply.readyInMs);
    }
    this.scheduler.after(RETRY_DELAY_MS, () => this.reserve(job));
  }

  /**
   * Starts the prefill at such a time that it ends `#earlyMs` before the slot
   * is free.
   */
  #schedulePrefill(job: Job, engine: Engine, readyInMs: number): void {
    const workMs = job.promptTokens / PREFILL_TOKENS_PER_MS;
    const leadMs = workMs + this.#prefills.backlogMs + this.#earlyMs;
    this.scheduler.after(readyInMs - leadMs, () => {
      this.#prefills.acquire((index) => {
        this.#prefills.run(
          index,
          job,
          () => this.#onPrefillDone(job, engine, index),
        );
      });
    });
  }

  #onPrefillDone(job: Job, engine: Engine, index: number): void {
    this.#waitForSlot(
      job,
      engine,
      index,
      this.scheduler.nowMs + RESULT_LIFETIME_MS,
    );
  }

  /** Waits for the slot until the result expires, then repeats the prefill. */
  #waitForSlot(job: Job, engine: Engine, index: number, untilMs: number): void {
    const reservation = engine.ledger.find(String(job.id));
    if (reservation?.state === ReservationState.Held) {
      reservation.state = ReservationState.Running;
      return this.#transfer(job, engine, index);
    }
    if (this.scheduler.nowMs < untilMs) {
      this.scheduler.after(
        POLL_INTERVAL_MS,
        () => this.#waitForSlot(job, engine, index, untilMs),
      );
      return;
    }
    this.score.wastedTokens += job.promptTokens;
    this.#prefills.release(index);
    this.#schedulePrefill(job, engine, 0);
  }

  #transfer(job: Job, engine: Engine, index: number): void {
    const id = String(job.id);
    this.scheduler.after(job.promptTokens / LINK_TOKENS_PER_MS, () => {
      this.#prefills.release(index);
      engine.startedAtMs.set(id, this.scheduler.nowMs);
      this.score.started(job, this.scheduler.nowMs + STEP_MS);
      this.scheduler.after(job.outputTokens * STEP_MS, () => {
        engine.startedAtMs.delete(id);
        engine.ledger.release(id);
      });
    });
  }

  #createEngine(): Engine {
    const startedAtMs = new Map<string, number>();
    const ledger = new CapacityLedger({
      totalPieces: () => TOTAL_PIECES,
      slots: () => SLOTS,
      grantTtlMs: GRANT_TTL_MS,
      remainingMs: (reservation) => {
        const decodeStartMs = startedAtMs.get(reservation.id) ??
          this.scheduler.nowMs;
        const produced = (this.scheduler.nowMs - decodeStartMs) / STEP_MS;
        const left = EXPECTED_TOKENS - produced;
        return Math.max(left, produced * 0.25, 1) * STEP_MS;
      },
    });
    return { ledger, startedAtMs };
  }
}

function load(engine: Engine): number {
  return engine.ledger.occupied + engine.ledger.reserved;
}
