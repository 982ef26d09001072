/**
 * An abort controller that follows a parent signal until it is unlinked. Unlike
 * an abort, unlinking costs nothing and disturbs no call that has ended.
 */

/** Why a linked call was ended by its owner. */
export enum EndReason {
  Silent = "silent",
  Done = "done",
}

/** Follows `parent` until `unlink`. */
export class LinkedAbort {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #follow: () => void;

  constructor(parent: AbortSignal) {
    this.#parent = parent;
    this.#follow = () => this.#controller.abort(parent.reason);
    if (parent.aborted) this.#follow();
    else parent.addEventListener("abort", this.#follow, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  abort(reason: EndReason): void {
    this.#controller.abort(reason);
  }

  unlink(): void {
    this.#parent.removeEventListener("abort", this.#follow);
  }
}
