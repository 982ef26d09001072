/**
 * Prompt tokens of requests that are being placed: they are assigned to a
 * prefill pool but not yet sent to a prefill server, so that no load hint
 * includes them.
 */

interface PlannedPrefill {
  pool: string;
  tokens: number;
}

/** Counts planned tokens by prefill pool. */
export class PlannedPrefills {
  readonly #byRequestId = new Map<string, PlannedPrefill>();
  readonly #tokensByPool = new Map<string, number>();

  /** Tokens planned for `pool`. */
  tokens(pool: string): number {
    return this.#tokensByPool.get(pool) ?? 0;
  }

  /** Records that `requestId` will prefill `tokens` tokens in `pool`. */
  add(requestId: string, pool: string, tokens: number): void {
    this.remove(requestId);
    this.#byRequestId.set(requestId, { pool, tokens });
    this.#tokensByPool.set(pool, this.tokens(pool) + tokens);
  }

  /** Stops counting a request because it was sent or abandoned. */
  remove(requestId: string): void {
    const planned = this.#byRequestId.get(requestId);
    if (!planned) return;
    this.#byRequestId.delete(requestId);
    const remaining = this.tokens(planned.pool) - planned.tokens;
    if (remaining > 0) this.#tokensByPool.set(planned.pool, remaining);
    else this.#tokensByPool.delete(planned.pool);
  }
}
