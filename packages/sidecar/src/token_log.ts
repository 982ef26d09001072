/**
 * The tokens of one attempt, kept so that a stream can be resumed at any
 * offset on a new connection. One writer appends; any number of readers wait.
 */
import {
  FinishReason,
  type RefusalReason,
  type StreamFailure,
} from "@sassafrascleat/protocol";

/** How an attempt ended. */
export type LogEnd =
  | { whole: true; finish: FinishReason }
  | { whole: false; failure: StreamFailure; refusal?: RefusalReason };

/** An append-only log of tokens with an end. */
export class TokenLog {
  readonly #tokens: string[] = [];
  readonly #wakers = new Set<() => void>();
  #end: LogEnd | undefined;

  get length(): number {
    return this.#tokens.length;
  }

  get end(): LogEnd | undefined {
    return this.#end;
  }

  /** Adds the part of `tokens` that is new; returns how many were added. */
  append(offset: number, tokens: readonly string[]): number {
    const known = this.#tokens.length - offset;
    if (this.#end || known < 0 || known >= tokens.length) return 0;
    this.#tokens.push(...tokens.slice(known));
    this.#wake();
    return tokens.length - known;
  }

  /** Ends the log; only the first end counts. */
  finish(end: LogEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#wake();
  }

  /** Tokens from `offset` on. */
  from(offset: number): string[] {
    return this.#tokens.slice(offset);
  }

  /** Waits for news after `offset`, for `waitMs` at most. */
  wait(offset: number, waitMs: number, signal: AbortSignal): Promise<void> {
    if (this.length > offset || this.#end || signal.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#wakers.delete(done);
        signal.removeEventListener("abort", done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#wakers.add(done);
      signal.addEventListener("abort", done, { once: true });
    });
  }

  #wake(): void {
    for (const waker of [...this.#wakers]) waker();
  }
}
