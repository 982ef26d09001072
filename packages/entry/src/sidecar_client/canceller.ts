/**
 * Cancels attempts in the background. A cancel is repeated until the sidecar
 * acknowledges it or `CANCEL_TIMEOUT_MS` has passed. By then the sidecar has
 * cancelled the attempt itself, because it is no longer renewed.
 */
import type { AttemptRef, CancelReply } from "@sassafrascleat/protocol";
import { type Clock, createLogger, sleep } from "@sassafrascleat/runtime";
import { CANCEL_RETRY_MS, CANCEL_TIMEOUT_MS } from "../constants.ts";
import type { SidecarClient } from "./sidecar_client.ts";

const log = createLogger("entry:cancel");

/** Sends cancels and tracks those in progress. */
export class Canceller {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #pending = new Set<Promise<unknown>>();

  constructor(clock: Clock, signal: AbortSignal) {
    this.#clock = clock;
    this.#signal = signal;
  }

  /** Resolves with the acknowledgement, or undefined if none arrived. */
  cancel(
    client: SidecarClient,
    ref: AttemptRef,
  ): Promise<CancelReply | undefined> {
    const done = this.#cancelUntilAcknowledged(client, ref);
    this.#pending.add(done);
    void done.finally(() => this.#pending.delete(done));
    return done;
  }

  /** Resolves when all cancels in progress have ended. */
  async waitForPending(): Promise<void> {
    await Promise.all(this.#pending);
  }

  async #cancelUntilAcknowledged(
    client: SidecarClient,
    ref: AttemptRef,
  ): Promise<CancelReply | undefined> {
    const { requestId, attempt } = ref;
    const deadlineMs = this.#clock.now() + CANCEL_TIMEOUT_MS;
    let pauseMs = CANCEL_RETRY_MS;
    while (this.#clock.now() < deadlineMs && !this.#signal.aborted) {
      const reply = await client.cancel({ requestId, attempt }, this.#signal);
      if (reply) return reply;
      await sleep(pauseMs, this.#signal);
      pauseMs *= 2;
    }
    log("cancel_unacknowledged", { requestId, attempt, to: client.address });
    return undefined;
  }
}
