/**
 * An abort controller that follows a parent signal until it is unlinked. Unlike
 * an abort, unlinking is cheap and does not affect a call that has ended.
 */

/** Why the owner of a linked controller aborted it. */
export enum LinkAbortReason {
  Silent = "silent",
  Done = "done",
}

/** Aborts when `parent` does, until `unlink` is called. */
export class LinkedAbortController {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #onParentAbort: () => void;

  constructor(parent: AbortSignal) {
    this.#parent = parent;
    this.#onParentAbort = () => this.#controller.abort(parent.reason);
    if (parent.aborted) this.#onParentAbort();
    else parent.addEventListener("abort", this.#onParentAbort, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  abort(reason: LinkAbortReason): void {
    this.#controller.abort(reason);
  }

  unlink(): void {
    this.#parent.removeEventListener("abort", this.#onParentAbort);
  }
}
