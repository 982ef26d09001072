/**
 * Tells whether a service that is polled with long-running calls can be reached.
 * A connection can go silent without being closed, and a long poll on it would
 * notice that only at its end. The monitor therefore makes a short call at
 * intervals in which no other call had a response. While the service is
 * unreachable, only the monitor calls it, so that an outage does not multiply
 * the calls of a large fleet.
 */
import {
  childAbortController,
  type Clock,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";

/** Options of {@link ReachabilityMonitor}. */
export interface ReachabilityOptions {
  clock: Clock;
  random: Random;
  /** Makes one short call; true if the service responded normally. */
  probe: (signal: AbortSignal) => Promise<boolean>;
  /** Longest time without a response before a probe, in ms. @default 2000 */
  intervalMs?: number;
  /** Mean delay between probes while unreachable, in ms. @default 400 */
  retryMs?: number;
}

const DEFAULT_INTERVAL_MS = 2_000;
const DEFAULT_RETRY_MS = 400;

/** Monitors one service; calls of any kind report to it. */
export class ReachabilityMonitor {
  readonly #options: ReachabilityOptions;
  #respondedAtMs: number;
  #suspected = false;
  #lost = new AbortController();
  /** Ends the pause before the next probe. */
  #pause = new AbortController();
  #waiting: (() => void)[] = [];

  constructor(options: ReachabilityOptions) {
    this.#options = options;
    this.#respondedAtMs = options.clock.now();
  }

  /**
   * Aborts when the service is found to be unreachable, which ends long polls on
   * connections that went silent, and when the monitor stops. Each outage has
   * a signal of its own.
   */
  get lost(): AbortSignal {
    return this.#lost.signal;
  }

  /** Records that a call had a response. */
  responded(): void {
    this.#respondedAtMs = this.#options.clock.now();
  }

  /** Records that a call failed; the service is probed at once. */
  suspect(): void {
    this.#suspected = true;
    this.#pause.abort();
  }

  /** Resolves when the service is not known to be unreachable, or on abort. */
  async untilReachable(signal: AbortSignal): Promise<void> {
    while (this.#lost.signal.aborted && !signal.aborted) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
        signal.addEventListener("abort", () => resolve(), { once: true });
      });
    }
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#waitForProbe(signal);
      if (signal.aborted) break;
      this.#suspected = false;
      const reachable = await this.#options.probe(signal);
      if (reachable) this.#markReachable();
      else if (!signal.aborted) this.#lost.abort();
    }
    this.#lost.abort();
    this.#wake();
  }

  async #waitForProbe(signal: AbortSignal): Promise<void> {
    this.#pause = childAbortController(signal);
    const { clock, random } = this.#options;
    if (this.#lost.signal.aborted) {
      const retryMs = this.#options.retryMs ?? DEFAULT_RETRY_MS;
      return await sleep(retryMs * (0.5 + random.float()), signal);
    }
    const intervalMs = this.#options.intervalMs ?? DEFAULT_INTERVAL_MS;
    while (!signal.aborted && !this.#suspected) {
      const waitMs = this.#respondedAtMs + intervalMs - clock.now();
      if (waitMs <= 0) return;
      await sleep(waitMs, this.#pause.signal);
    }
  }

  #markReachable(): void {
    this.responded();
    if (!this.#lost.signal.aborted) return;
    this.#lost = new AbortController();
    this.#wake();
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) resolve();
  }
}
