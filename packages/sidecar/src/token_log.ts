/**
 * Stores the tokens of one attempt to run a request, so that its stream can be
 * resumed at any offset on a new connection. One writer appends; any number of
 * readers can wait for new tokens.
 */
import {
  FinishReason,
  type RefusalReason,
  type StreamFailure,
} from "@sassafrascleat/protocol";

/**
 * How an attempt ended. `refusal` is the reason if the sidecar refused the
 * attempt; no log ends with one so far, because `refusedFrame` reports refusals
 * without the log.
 */
export type StreamEnd =
  | { complete: true; finish: FinishReason }
  | { complete: false; failure: StreamFailure; refusal?: RefusalReason };

/** Append-only log of the tokens of one attempt to run a request. */
export class TokenLog {
  readonly #tokens: string[] = [];
  readonly #waiters = new Set<() => void>();
  #end: StreamEnd | undefined;

  get length(): number {
    return this.#tokens.length;
  }

  get end(): StreamEnd | undefined {
    return this.#end;
  }

  /**
   * Appends the tokens that the log doesn't have yet and returns their number.
   * Ignores them if the log has ended or `offset` lies past the stored tokens.
   */
  append(offset: number, tokens: readonly string[]): number {
    const storedCount = this.#tokens.length - offset;
    if (this.#end || storedCount < 0 || storedCount >= tokens.length) return 0;
    this.#tokens.push(...tokens.slice(storedCount));
    this.#wakeReaders();
    return tokens.length - storedCount;
  }

  /** Ends the log; further calls have no effect. */
  finish(end: StreamEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#wakeReaders();
  }

  /** Returns the tokens from `offset` on. */
  from(offset: number): string[] {
    return this.#tokens.slice(offset);
  }

  /**
   * Waits until there are tokens from `offset` on or the log has ended, for at
   * most `waitMs`.
   */
  wait(offset: number, waitMs: number, signal: AbortSignal): Promise<void> {
    if (this.length > offset || this.#end || signal.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        signal.removeEventListener("abort", done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
      signal.addEventListener("abort", done, { once: true });
    });
  }

  #wakeReaders(): void {
    for (const wakeReader of [...this.#waiters]) wakeReader();
  }
}
