/**
 * Drains the gateway before its process exits. Shortly before the exit, the
 * requests that are still in progress are ended, so that their callers get
 * responses while there is time to send them.
 */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import {
  type DrainedRequest,
  type DrainTimes,
  isAcceptedInDrain,
} from "./decide/drain_admission.ts";

/** Time to send the last responses before the exit, in milliseconds. */
const LAST_RESPONSES_MS = 200;

/** The drain of one router process, which is started once. */
export class Drain {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #exiting = new AbortController();
  #times: DrainTimes | undefined;

  constructor(clock: Clock, log: Logger) {
    this.#clock = clock;
    this.#log = log;
  }

  /** True once the drain has been started. */
  get started(): boolean {
    return this.#times !== undefined;
  }

  /** Aborts when the requests in progress must end. */
  get exitSignal(): AbortSignal {
    return this.#exiting.signal;
  }

  /** Starts the drain; `exitAtMs` is infinite if the process doesn't exit. */
  start(exitAtMs: number): void {
    if (this.#times) return;
    const startMs = this.#clock.now();
    const endMs = Math.max(startMs, exitAtMs - LAST_RESPONSES_MS);
    this.#times = { startMs, endMs };
    if (endMs === Infinity) return;
    setTimeout(() => this.#endRequests(), endMs - startMs).unref();
  }

  /** Whether a request is accepted now. */
  accepts(req: DrainedRequest): boolean {
    return !this.#times ||
      isAcceptedInDrain(req, this.#times, this.#clock.now());
  }

  #endRequests(): void {
    this.#log("ending_requests");
    this.#exiting.abort();
  }
}
