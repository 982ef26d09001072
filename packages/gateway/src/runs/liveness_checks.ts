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

  /** Asks until the backend server has responded, for at most `waitMs`. */
  async check(
    backend: Backend,
    waitMs = PROMPT_RESPONSE_MS,
  ): Promise<Liveness> {
    const { clock } = this.#options;
    const endMs = clock.now() + waitMs;
    for (;;) {
      const leftMs = endMs - clock.now();
      const liveness = await within(this.#share(backend).liveness, leftMs);
      const pauseMs = Math.min(CHECK_TTL_MS, endMs - clock.now());
      if (liveness !== Liveness.Silent || pauseMs <= 0) return liveness;
      await sleep(pauseMs);
    }
  }

  /** Deletes the state of a backend server that has been removed. */
  forget(backend: Backend): void {
    this.#checks.delete(incarnationOf(backend));
  }

  #share(backend: Backend): Check {
    const { clock, ask } = this.#options;
    const key = incarnationOf(backend);
    const known = this.#checks.get(key);
    const startedAtMs = clock.now();
    if (known && !known.settled) return known;
    if (known && startedAtMs - known.startedAtMs < CHECK_TTL_MS) return known;
    const liveness = ask(backend).finally(() => check.settled = true);
    const check: Check = { startedAtMs, settled: false, liveness };
    this.#checks.set(key, check);
    return check;
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
