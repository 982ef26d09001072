/**
 * The way that was taken: a decode place first, granted ahead by the sidecar's
 * own `CapacityLedger` and expiring by itself, then the prefill, timed to end
 * as the place frees.
 */
import { RequestClass } from "@sassafrascleat/protocol";
import {
  CapacityLedger,
  ReservationResult,
  ReservationState,
} from "@sassafrascleat/sidecar";
import { PrefillPool } from "./prefill_pool.ts";
import { Timeline } from "./timeline.ts";
import {
  DECODE_ENGINES,
  GIVE_UP_MS,
  type Job,
  LINK_TOKENS_PER_MS,
  PREFILL_TOKENS_PER_MS,
  RESULT_LIFETIME_MS,
  Score,
  SLOTS,
  STEP_MS,
} from "./workload.ts";

const MAX_WAIT_MS = 1_500;
const RETRY_MS = 100;
const POLL_MS = 5;
const GRANT_TTL_MS = 5_000;
const EXPECTED_TOKENS = 100;
const PIECES = 400;

interface Engine {
  ledger: CapacityLedger;
  startedAtMs: Map<string, number>;
}

/**
 * Runs the jobs, with results ready `earlyMs` before their places; the score counts
 * what came in time and what was wasted.
 */
export function runOrdered(
  jobs: readonly Job[],
  untilMs: number,
  earlyMs: number,
): Score {
  const world = new OrderedWorld(earlyMs);
  for (const job of jobs) {
    world.timeline.after(job.arrivedAtMs, () => world.place(job));
  }
  world.timeline.run(untilMs);
  return world.score;
}

class OrderedWorld {
  readonly timeline = new Timeline();
  readonly score = new Score();
  readonly #earlyMs: number;
  readonly #prefills = new PrefillPool(this.timeline, this.score);
  readonly #engines: Engine[] = Array.from(
    { length: DECODE_ENGINES },
    () => this.#createEngine(),
  );

  constructor(earlyMs: number) {
    this.#earlyMs = earlyMs;
  }

  /** Asks engines for a place, the emptiest first; comes again if all refuse. */
  place(job: Job): void {
    const { nowMs } = this.timeline;
    if (nowMs - job.arrivedAtMs > GIVE_UP_MS) {
      this.score.gaveUp++;
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
      return this.#prefill(job, engine, reply.readyInMs);
    }
    this.timeline.after(RETRY_MS, () => this.place(job));
  }

  /** Begins so late that the prefill ends as the place frees. */
  #prefill(job: Job, engine: Engine, readyInMs: number): void {
    const workMs = job.promptTokens / PREFILL_TOKENS_PER_MS;
    const leadMs = workMs + this.#prefills.backlogMs + this.#earlyMs;
    this.timeline.after(readyInMs - leadMs, () => {
      this.#prefills.acquire((index) => {
        this.#prefills.run(index, job, () => this.#done(job, engine, index));
      });
    });
  }

  #done(job: Job, engine: Engine, index: number): void {
    this.#await(job, engine, index, this.timeline.nowMs + RESULT_LIFETIME_MS);
  }

  /** Waits for the place as long as the result lives. */
  #await(job: Job, engine: Engine, index: number, untilMs: number): void {
    const place = engine.ledger.find(String(job.id));
    if (place?.state === ReservationState.Held) {
      place.state = ReservationState.Running;
      return this.#transfer(job, engine, index);
    }
    if (this.timeline.nowMs < untilMs) {
      this.timeline.after(
        POLL_MS,
        () => this.#await(job, engine, index, untilMs),
      );
      return;
    }
    this.score.wastedTokens += job.promptTokens;
    this.#prefills.release(index);
    this.#prefill(job, engine, 0);
  }

  #transfer(job: Job, engine: Engine, index: number): void {
    const id = String(job.id);
    this.timeline.after(job.promptTokens / LINK_TOKENS_PER_MS, () => {
      this.#prefills.release(index);
      engine.startedAtMs.set(id, this.timeline.nowMs);
      this.score.started(job, this.timeline.nowMs + STEP_MS);
      this.timeline.after(job.outputTokens * STEP_MS, () => {
        engine.startedAtMs.delete(id);
        engine.ledger.release(id);
      });
    });
  }

  #createEngine(): Engine {
    const startedAtMs = new Map<string, number>();
    const ledger = new CapacityLedger({
      totalPieces: () => PIECES,
      slots: () => SLOTS,
      grantTtlMs: GRANT_TTL_MS,
      remainingMs: (place) => {
        const since = startedAtMs.get(place.id) ?? this.timeline.nowMs;
        const produced = (this.timeline.nowMs - since) / STEP_MS;
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
