/**
 * Runs prompts at prefill engines for decode slots that are already granted.
 * The placement policy schedules each prefill so that its result is ready when
 * the slot becomes free. Each result is counted once, as used or as wasted.
 */
import {
  type AttemptRef,
  type BackendServer,
  CancelState,
  CONTROL_TIMEOUT_MS,
  type KvHandle,
  type PrefillDone,
  type PrefillReply,
  RefusalReason,
} from "@sassafrascleat/protocol";
import {
  AttemptFailure,
  type BackendState,
  type FailureReason,
  type PrefillPlan,
} from "@sassafrascleat/routing";
import { sleep } from "@sassafrascleat/runtime";
import {
  KV_TRANSFER_MARGIN_MS,
  MAX_PREFILL_TRIES,
  PLAN_RETRY_MS,
} from "../constants.ts";
import { PrefillUse } from "../metrics.ts";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import type { Call, GrantedSlot } from "./call.ts";
import type { EntryContext } from "./context.ts";

/** The prompt to prefill, and the model and pool for it. */
export interface PrefillInput {
  model: string;
  prompt: string;
  prefillPool: string;
  /** Tokens already sent to the caller. */
  generated: string[];
}

/** A prefill result, or the reason for a failure. */
export type PrefillResult =
  | { done: true; kv: PrefillKv }
  | { done: false; reason: FailureReason; mayHaveRun: boolean };

/** A prefill result with its expiry time by the entry's clock. */
export class PrefillKv {
  readonly handle: KvHandle;
  readonly expiresAtMs: number;
  readonly client: SidecarClient;
  readonly ref: AttemptRef;
  readonly #countUse: (use: PrefillUse) => void;
  #use: PrefillUse | undefined;

  constructor(
    done: PrefillDone,
    nowMs: number,
    from: { client: SidecarClient; ref: AttemptRef },
    count: (use: PrefillUse) => void,
  ) {
    this.handle = done.kv;
    this.expiresAtMs = nowMs + done.kv.expiresInMs;
    this.client = from.client;
    this.ref = from.ref;
    this.#countUse = count;
  }

  /** Whether an engine still has time to fetch the result. */
  isTransferable(nowMs: number): boolean {
    return nowMs + KV_TRANSFER_MARGIN_MS < this.expiresAtMs;
  }

  /** Returns the handle with the lifetime that remains at `nowMs`. */
  handleAt(nowMs: number): KvHandle {
    const expiresInMs = Math.max(0, this.expiresAtMs - nowMs);
    return { ...this.handle, expiresInMs };
  }

  /** Whether a decode engine has fetched the result. */
  get used(): boolean {
    return this.#use === PrefillUse.Used;
  }

  /** Counts the result's tokens; only the first call has an effect. */
  count(use: PrefillUse): void {
    if (this.#use) return;
    this.#use = use;
    this.#countUse(use);
  }
}

/** Runs prefills, with retries on other backend servers. */
export class Prefiller {
  readonly #ctx: EntryContext;

  constructor(ctx: EntryContext) {
    this.#ctx = ctx;
  }

  /**
   * Prefills the prompt for `place`, with up to `MAX_PREFILL_TRIES` tries. Stops
   * early when the grant expires, the call is aborted or a server refuses the
   * prompt as too large.
   */
  async prefill(
    call: Call,
    place: GrantedSlot,
    input: PrefillInput,
  ): Promise<PrefillResult> {
    const excluded = new Set<string>();
    let failed: PrefillResult = {
      done: false,
      reason: AttemptFailure.NoCandidate,
      mayHaveRun: false,
    };
    for (let tries = 0; tries < MAX_PREFILL_TRIES;) {
      if (call.signal.aborted || this.#ctx.clock.now() >= place.expiresAtMs) {
        break;
      }
      const states = this.#states(input.prefillPool, excluded);
      const plan = this.#plan(call, place, states);
      const server = states.find((it) => it.server.name === plan?.name)?.server;
      if (!plan || !server) {
        this.#ctx.hintRefresher.refresh(states);
        excluded.clear();
        await sleep(PLAN_RETRY_MS, call.signal);
        continue;
      }
      tries += 1;
      const result = await this.#runPlan(call, plan, server, input);
      if (result.done || result.reason === RefusalReason.TooLarge) {
        return result;
      }
      failed = {
        ...result,
        mayHaveRun: result.mayHaveRun || (!failed.done && failed.mayHaveRun),
      };
      excluded.add(server.name);
    }
    return failed;
  }

  #states(pool: string, excluded: Set<string>): BackendState[] {
    const servers = this.#ctx.hosts.candidates(pool)
      .filter((server) => !excluded.has(server.name));
    return this.#ctx.hints.states(servers);
  }

  #plan(
    call: Call,
    place: GrantedSlot,
    states: BackendState[],
  ): PrefillPlan | undefined {
    const nowMs = this.#ctx.clock.now();
    const grant = {
      name: place.server.name,
      availabilityZone: place.server.availabilityZone,
      readyInMs: Math.max(0, place.readyAtMs - nowMs),
    };
    return call.placement.prefillPlan(call.req, grant, states, nowMs);
  }

  async #runPlan(
    call: Call,
    plan: PrefillPlan,
    server: BackendServer,
    input: PrefillInput,
  ): Promise<PrefillResult> {
    const {
      sidecarClients: clients,
      hints,
      hosts,
      plannedPrefills: planned,
      renewer,
    } = this.#ctx;
    const client = clients.get(server.sidecarAddress);
    const ref = call.ref;
    const waitMs = this.#replyTimeoutMs(call, plan, server);
    planned.remove(call.requestId);
    hints.sent(server.name, plan.expectedTokens ?? call.req.promptTokens);
    const lease = renewer.add(server.name, client, ref, () => {});
    const reply = await client.prefill(
      this.#prefillRequest(call, plan, input),
      waitMs,
      call.signal,
    );
    lease.release();
    if (reply) return this.#handleReply(call, server, client, reply);
    if (!call.signal.aborted) hosts.observeFailure(server.name);
    this.#cancelPrefill(call, client, ref);
    return {
      done: false,
      reason: AttemptFailure.Unreachable,
      mayHaveRun: true,
    };
  }

  #prefillRequest(call: Call, plan: PrefillPlan, input: PrefillInput) {
    return {
      ...call.ref,
      entryId: this.#ctx.options.entryId,
      service: call.service.name,
      model: input.model,
      prompt: input.prompt,
      generated: input.generated,
      promptTokens: call.req.promptTokens,
      pieceHashes: call.req.pieceHashes,
      startInMs: plan.startInMs,
      startWithinMs: plan.startWithinMs,
      priority: plan.priority,
      dueInMs: plan.dueInMs,
    };
  }

  /** Time after which a missing reply counts as lost, in milliseconds. */
  #replyTimeoutMs(
    call: Call,
    plan: PrefillPlan,
    server: BackendServer,
  ): number {
    const hint = this.#ctx.hints.states([server])[0]?.hint;
    const waitMs = plan.startInMs + plan.startWithinMs + CONTROL_TIMEOUT_MS;
    if (!hint || hint.rate <= 0) return waitMs + CONTROL_TIMEOUT_MS;
    return waitMs + call.req.promptTokens / hint.rate * 1_000;
  }

  #handleReply(
    call: Call,
    server: BackendServer,
    client: SidecarClient,
    reply: PrefillReply,
  ): PrefillResult {
    this.#ctx.observe(server.name, reply.incarnation, reply.hint);
    if (!reply.done) {
      return { done: false, reason: reply.reason, mayHaveRun: false };
    }
    call.placement.observePrefill?.(call.req, server.name, reply.cachedTokens);
    const tokens = Math.max(0, reply.kv.tokens - reply.cachedTokens);
    const service = call.service.name;
    const { prefillTokens } = this.#ctx.metrics;
    const kv = new PrefillKv(
      reply,
      this.#ctx.clock.now(),
      { client, ref: call.ref },
      (use) => prefillTokens.inc({ service, use }, tokens),
    );
    return { done: true, kv };
  }

  /**
   * Cancels a prefill whose reply is no longer awaited; work that had started
   * counts as wasted.
   */
  #cancelPrefill(call: Call, client: SidecarClient, ref: AttemptRef): void {
    const { canceller, metrics } = this.#ctx;
    const labels = { service: call.service.name, use: PrefillUse.Wasted };
    const tokens = call.req.promptTokens;
    void canceller.cancel(client, ref).then((reply) => {
      const hadStarted = reply && reply.state !== CancelState.NotStarted;
      if (hadStarted) metrics.prefillTokens.inc(labels, tokens);
    });
  }
}
