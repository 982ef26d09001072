/**
 * What a router keeps for one service to schedule its generations while decode
 * memory is short: the customers' shares, the reserve for urgent requests and
 * the retry times of refused callers.
 */
import type { Clock, Random } from "@sassafrascleat/runtime";
import { DecayedRate } from "./decayed_rate.ts";
import { FairShare } from "./fair_share.ts";
import { RetrySchedule } from "./retry_schedule.ts";
import { UrgentReserve } from "./urgent_reserve.ts";

/** Options of {@link ServiceScheduling}. */
export interface ServiceSchedulingOptions {
  clock: Clock;
  random: Random;
  /** Number of routers that share the engines. */
  routerCount: () => number;
}

/** Time in which the observed rate of placements falls to 1/e, in ms. */
const PLACEMENTS_DECAY_MS = 2_000;

/** Scheduling state of one service at this router. */
export class ServiceScheduling {
  readonly shares: FairShare;
  readonly reserve: UrgentReserve;
  readonly retries: RetrySchedule;
  /** Placements of this router. */
  readonly placements: DecayedRate;

  constructor(options: ServiceSchedulingOptions) {
    this.shares = new FairShare(options.clock);
    this.reserve = new UrgentReserve(options);
    this.retries = new RetrySchedule(options);
    const startMs = options.clock.now();
    this.placements = new DecayedRate(PLACEMENTS_DECAY_MS, startMs);
  }

  /** Records a generation that has ended after it held memory for `heldMs`. */
  recordEnd(heldMs: number): void {
    this.shares.observeHold(heldMs);
    this.retries.recordEnd();
  }
}
