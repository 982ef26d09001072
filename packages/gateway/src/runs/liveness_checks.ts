/**
 * Asks backend servers whether they are alive. A server that crashes takes many
 * requests with it, which all ask at the same time: they share one call, and its
 * answer for a short time.
 */
import { type Clock, sleep } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { Liveness } from "./liveness.ts";

/** Options of {@link LivenessChecks}. */
export interface LivenessChecksOptions {
  clock: Clock;
  /** Asks the backend server once, on a new connection. */
  ask: (backend: Backend) => Promise<Liveness>;
}

/** Options of one check. */
export interface CheckOptions {
  /** How long it is asked, in milliseconds. @default 200 */
  waitMs?: number;
  /**
   * A connection to the server is open, which a crash would have ended.
   * @default false
   */
  hasConnection?: boolean;
  /**
   * Only a call that began at this time or later counts, in milliseconds of the
   * process clock. @default any
   */
  sinceMs?: number;
}

interface Check {
  startedAtMs: number;
  settled: boolean;
  liveness: Promise<Liveness>;
}

/** How long the answer of one check holds, in milliseconds. */
const CHECK_TTL_MS = 250;
/** Time in which a server responds that doesn't stand still, in milliseconds. */
export const PROMPT_RESPONSE_MS = 200;

/** Checks that concurrent requests share. */
export class LivenessChecks {
  readonly #options: LivenessChecksOptions;
  readonly #checks = new Map<string, Check>();

  constructor(options: LivenessChecksOptions) {
    this.#options = options;
  }

  /**
   * Asks until the backend server has responded. The result is never `Refusing`:
   * that is `Silent` where a connection is open, else `Gone`.
   */
  async check(backend: Backend, options: CheckOptions = {}): Promise<Liveness> {
    const { clock } = this.#options;
    const { waitMs = PROMPT_RESPONSE_MS, hasConnection = false } = options;
    const endMs = clock.now() + waitMs;
    for (;;) {
      const call = this.#share(backend, options.sinceMs ?? -Infinity);
      const liveness = await within(call, endMs - clock.now());
      const refusing = liveness === Liveness.Refusing;
      if (refusing && !hasConnection) return Liveness.Gone;
      const pauseMs = Math.min(CHECK_TTL_MS, endMs - clock.now());
      if (liveness !== Liveness.Silent && !refusing) return liveness;
      if (pauseMs <= 0) return Liveness.Silent;
      await sleep(pauseMs);
    }
  }

  /** Deletes the state of a backend server that has been removed. */
  forget(backend: Backend): void {
    this.#checks.delete(incarnationOf(backend));
  }

  /** Joins a call that began at `sinceMs` or later, or makes one. */
  #share(backend: Backend, sinceMs: number): Promise<Liveness> {
    const known = this.#checks.get(incarnationOf(backend));
    const isLater = known !== undefined && known.startedAtMs >= sinceMs;
    if (!known || known.settled && !this.#holds(known, sinceMs)) {
      return this.#ask(backend);
    }
    if (isLater) return known.liveness;
    // All that wait for the end of an earlier call share the next one.
    return known.liveness.then(() => this.#share(backend, sinceMs));
  }

  #holds({ startedAtMs }: Check, sinceMs: number): boolean {
    const ageMs = this.#options.clock.now() - startedAtMs;
    return ageMs < CHECK_TTL_MS && startedAtMs >= sinceMs;
  }

  #ask(backend: Backend): Promise<Liveness> {
    const { clock, ask } = this.#options;
    const startedAtMs = clock.now();
    const liveness = ask(backend).finally(() => check.settled = true);
    const check: Check = { startedAtMs, settled: false, liveness };
    this.#checks.set(incarnationOf(backend), check);
    return liveness;
  }
}

/** Returns the result, or `Silent` if it takes longer than `forMs`. */
async function within(
  liveness: Promise<Liveness>,
  forMs: number,
): Promise<Liveness> {
  const timer = new AbortController();
  const silent = sleep(forMs, timer.signal).then(() => Liveness.Silent);
  const first = await Promise.race([liveness, silent]);
  timer.abort();
  return first;
}
