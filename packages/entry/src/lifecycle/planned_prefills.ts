/**
 * Prompt tokens of requests that are being placed: decided on, but not sent to
 * a prefill server yet, so that no hint can know of them.
 */

interface Planned {
  pool: string;
  tokens: number;
}

/** Counts planned tokens by prefill pool. */
export class PlannedPrefills {
  readonly #planned = new Map<string, Planned>();
  readonly #tokensOf = new Map<string, number>();

  /** Tokens planned for `pool`. */
  tokens(pool: string): number {
    return this.#tokensOf.get(pool) ?? 0;
  }

  /** Records that `requestId` will run `tokens` in `pool`. */
  add(requestId: string, pool: string, tokens: number): void {
    this.remove(requestId);
    this.#planned.set(requestId, { pool, tokens });
    this.#tokensOf.set(pool, this.tokens(pool) + tokens);
  }

  /** Records that the request was sent, or given up. */
  remove(requestId: string): void {
    const planned = this.#planned.get(requestId);
    if (!planned) return;
    this.#planned.delete(requestId);
    const left = this.tokens(planned.pool) - planned.tokens;
    if (left > 0) this.#tokensOf.set(planned.pool, left);
    else this.#tokensOf.delete(planned.pool);
  }
}
