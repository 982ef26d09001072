/** Cancels requests at the engine, with retries until the engine answers. */
import type { Engine } from "@sassafrascleat/engine";
import { createLogger, sleep } from "@sassafrascleat/runtime";
import {
  CANCEL_RETRY_DELAY_MAX_MS,
  CANCEL_RETRY_DELAY_MS,
} from "./constants.ts";

const log = createLogger("sidecar:cancel");

/** Retries each cancel until the engine answers it. */
export class EngineCanceller {
  readonly #engine: Engine;
  readonly #signal: AbortSignal;
  readonly #pending = new Map<string, Promise<void>>();

  /** @param signal Aborts the retries when the sidecar closes. */
  constructor(engine: Engine, signal: AbortSignal) {
    this.#engine = engine;
    this.#signal = signal;
  }

  /** Number of cancels that the engine has not answered yet. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Whether a cancel of `id` is pending. */
  has(id: string): boolean {
    return this.#pending.has(id);
  }

  /** Resolves when the engine has answered, or when the sidecar closes. */
  cancel(id: string): Promise<void> {
    const known = this.#pending.get(id);
    if (known) return known;
    const work = this.#retry(id).finally(() => this.#pending.delete(id));
    this.#pending.set(id, work);
    return work;
  }

  async #retry(id: string): Promise<void> {
    let delayMs = CANCEL_RETRY_DELAY_MS;
    while (!this.#signal.aborted) {
      if (await this.#engine.cancel(id)) return;
      log("cancel_unanswered", { request: id, retry_ms: delayMs });
      await sleep(delayMs, this.#signal);
      delayMs = Math.min(delayMs * 2, CANCEL_RETRY_DELAY_MAX_MS);
    }
  }
}
