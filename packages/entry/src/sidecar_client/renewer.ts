/**
 * Renews the entry's live attempts with one batched call to each sidecar every
 * `RENEW_INTERVAL_MS`. A sidecar cancels an attempt that is not renewed within
 * the renewal timeout, so that the engine memory of a crashed entry is freed.
 */
import {
  type AttemptRef,
  RENEW_INTERVAL_MS,
  type RenewReply,
} from "@sassafrascleat/protocol";
import { runPeriodically } from "@sassafrascleat/runtime";
import type { SidecarClient } from "./sidecar_client.ts";

/** Handle of an attempt that is being renewed. */
export interface Lease {
  /** Stops the renewal. */
  release(): void;
}

interface LiveAttempt {
  ref: AttemptRef;
  onMissing: () => void;
}

interface RenewalBatch {
  /** Name of the backend server. */
  server: string;
  attempts: Map<string, LiveAttempt>;
  renewing: boolean;
}

function createBatch(server: string): RenewalBatch {
  return { server, attempts: new Map(), renewing: false };
}

function attemptKey(ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`;
}

/** Called with the reply to each renewal; undefined if none arrived. */
export type RenewObserver = (
  server: string,
  reply: RenewReply | undefined,
) => void;

/** Renews the attempts of an entry. */
export class Renewer {
  readonly #entryId: string;
  readonly #observe: RenewObserver;
  readonly #batches = new Map<SidecarClient, RenewalBatch>();

  constructor(entryId: string, observe: RenewObserver) {
    this.#entryId = entryId;
    this.#observe = observe;
  }

  /** Renews `ref` until released; `onMissing` is called if the sidecar lost it. */
  add(
    server: string,
    client: SidecarClient,
    ref: AttemptRef,
    onMissing: () => void,
  ): Lease {
    const batch = this.#batches.get(client) ?? createBatch(server);
    this.#batches.set(client, batch);
    const key = attemptKey(ref);
    batch.attempts.set(key, { ref, onMissing });
    return { release: () => this.#release(client, batch, key) };
  }

  /** Sends renewals until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return runPeriodically(RENEW_INTERVAL_MS, signal, () => {
      for (const [client, batch] of this.#batches) {
        if (!batch.renewing) void this.#renew(client, batch, signal);
      }
    });
  }

  #release(client: SidecarClient, batch: RenewalBatch, key: string): void {
    batch.attempts.delete(key);
    const idle = batch.attempts.size === 0;
    if (idle && this.#batches.get(client) === batch) {
      this.#batches.delete(client);
    }
  }

  async #renew(
    client: SidecarClient,
    batch: RenewalBatch,
    signal: AbortSignal,
  ): Promise<void> {
    batch.renewing = true;
    const sent = [...batch.attempts.values()].map((liveAttempt) =>
      liveAttempt.ref
    );
    const reply = await client.renew(
      { entryId: this.#entryId, attempts: sent },
      signal,
    );
    batch.renewing = false;
    this.#observe(batch.server, reply);
    for (const ref of reply?.missing ?? []) {
      batch.attempts.get(attemptKey(ref))?.onMissing();
    }
  }
}
