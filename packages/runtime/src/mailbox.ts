/**
 * A bounded in-memory queue between asynchronous tasks, with one reader. Posting
 * never blocks: a full mailbox rejects the message, and the sender handles it.
 */

/** A bounded queue of messages read by one task. */
export class Mailbox<T> {
  readonly #capacity: number;
  readonly #messages: T[] = [];
  #wake: (() => void) | undefined;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** The number of queued messages. */
  get size(): number {
    return this.#messages.length;
  }

  /** Adds a message; returns false if the mailbox is full. */
  post(message: T): boolean {
    if (this.#messages.length >= this.#capacity) return false;
    this.#messages.push(message);
    this.#wake?.();
    return true;
  }

  /** Removes and returns all messages. If there are none, waits for one or for `signal` to abort. */
  async takeAll(signal: AbortSignal): Promise<T[]> {
    if (this.#messages.length === 0 && !signal.aborted) {
      await this.#wait(signal);
    }
    return this.#messages.splice(0);
  }

  #wait(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        this.#wake = undefined;
        signal.removeEventListener("abort", done);
        resolve();
      };
      this.#wake = done;
      signal.addEventListener("abort", done, { once: true });
    });
  }
}
