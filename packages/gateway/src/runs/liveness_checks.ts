/**
 * Asks backend servers whether they are alive. A server that crashes takes many
 * requests with it, which all ask at the same time: they share one call, and its
 * answer for a short time.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";

/** Options of {@link LivenessChecks}. */
export interface LivenessChecksOptions {
  clock: Clock;
  /** True when the backend server responds on a new connection. */
  isAlive: (backend: Backend) => Promise<boolean>;
}

interface Check {
  startedAtMs: number;
  alive: Promise<boolean>;
}

/** How long the answer of one check holds, in milliseconds. */
const CHECK_TTL_MS = 250;

/** Checks that concurrent requests share. */
export class LivenessChecks {
  readonly #options: LivenessChecksOptions;
  readonly #checks = new Map<string, Check>();

  constructor(options: LivenessChecksOptions) {
    this.#options = options;
  }

  /** True when the backend server responds on a new connection. */
  isAlive(backend: Backend): Promise<boolean> {
    const { clock, isAlive } = this.#options;
    const key = incarnationOf(backend);
    const known = this.#checks.get(key);
    const startedAtMs = clock.now();
    if (known && startedAtMs - known.startedAtMs < CHECK_TTL_MS) {
      return known.alive;
    }
    const alive = isAlive(backend);
    this.#checks.set(key, { startedAtMs, alive });
    return alive;
  }

  /** Deletes the state of a backend server that has been removed. */
  forget(backend: Backend): void {
    this.#checks.delete(incarnationOf(backend));
  }
}
