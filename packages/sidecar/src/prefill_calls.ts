/** Prefill calls, which are idempotent per attempt and whose results expire. */
import {
  type PrefillReply,
  type PrefillRequest,
  RefusalReason,
} from "@sassafrascleat/protocol";
import { attemptId, type AttemptRecord } from "./attempt_ledger.ts";
import type { SidecarState } from "./sidecar_state.ts";
import { STREAM_RETENTION_MS } from "./constants.ts";
import type { PrefillOutcome } from "./prefill_scheduler.ts";

/** Prefill calls of one sidecar. */
export class PrefillCalls {
  readonly #state: SidecarState;
  readonly #outcomes = new Map<string, Promise<PrefillOutcome>>();

  constructor(state: SidecarState) {
    this.#state = state;
  }

  /** Runs a prompt, or waits for the run that the attempt already has. */
  async prefill(req: PrefillRequest): Promise<PrefillReply> {
    const { attempts, cfg } = this.#state;
    const refusal = attempts.refusal(req);
    if (refusal) return this.#refused(refusal);
    const id = attemptId(req);
    const known = this.#outcomes.get(id);
    if (known) {
      attempts.renew(req, req.entryId, cfg.clock.now());
      return this.#reply(await known);
    }
    if (attempts.find(req)) return this.#refused(RefusalReason.Superseded);
    if (this.#state.leaving) return this.#refused(RefusalReason.Leaving);
    if (!this.#state.ready || !this.#state.engineParts) {
      return this.#refused(RefusalReason.EngineDown);
    }
    const record = attempts.admit(req, req.entryId, cfg.clock.now());
    const outcome = this.#run(record, req);
    this.#outcomes.set(id, outcome);
    return this.#reply(await outcome);
  }

  async #run(
    record: AttemptRecord,
    req: PrefillRequest,
  ): Promise<PrefillOutcome> {
    const { attempts, cfg, metrics, engineParts } = this.#state;
    const outcome = await engineParts?.prefillScheduler.submit(record, req) ??
      { done: false as const, reason: RefusalReason.EngineDown };
    attempts.finish(record, cfg.clock.now());
    metrics.prefills.inc({ result: outcome.done ? "done" : outcome.reason });
    const id = attemptId(req);
    setTimeout(() => this.#outcomes.delete(id), STREAM_RETENTION_MS).unref();
    return outcome;
  }

  #reply(outcome: PrefillOutcome): PrefillReply {
    if (!outcome.done) return this.#refused(outcome.reason);
    const { cfg, incarnation } = this.#state;
    const { name, availabilityZone, engineAddress } = cfg.backendServer;
    const expiresInMs = outcome.expiresAtMs - cfg.clock.now();
    if (expiresInMs <= 0) return this.#refused(RefusalReason.GrantExpired);
    return {
      done: true,
      incarnation,
      kv: {
        handle: outcome.handle,
        backendServer: name,
        availabilityZone,
        engineAddress,
        tokens: outcome.tokens,
        expiresInMs,
      },
      cachedTokens: outcome.cachedTokens,
      queuedMs: outcome.queuedMs,
      ranMs: outcome.ranMs,
      hint: this.#state.hint(),
    };
  }

  #refused(reason: RefusalReason): PrefillReply {
    const { incarnation } = this.#state;
    return { done: false, incarnation, reason, hint: this.#state.hint() };
  }
}
