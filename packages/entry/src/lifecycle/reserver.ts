/**
 * Reserves slots at sidecars. The sidecar decides whether to grant one; load
 * hints only determine which sidecars to ask. A reservation whose reply was
 * lost is cancelled in the background, and its attempt number is not reused.
 */
import { ServiceKind } from "@sassafrascleat/config";
import type { BackendServer, ReserveReply } from "@sassafrascleat/protocol";
import type { DecodeProbe } from "@sassafrascleat/routing";
import { createLogger } from "@sassafrascleat/runtime";
import { MAX_HINT_REFRESHES, MAX_POOL_FULL_PAUSE_MS } from "../constants.ts";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import type { Call, GrantedSlot } from "./call.ts";
import type { EntryContext } from "./context.ts";

const log = createLogger("entry:reserve");

/** A granted slot, or the delay after which to try again. */
export type ReserveResult =
  | { placed: true; place: GrantedSlot }
  | { placed: false; retryAfterMs: number; candidates: number };

/** Reserves slots for calls. */
export class Reserver {
  readonly #ctx: EntryContext;

  constructor(ctx: EntryContext) {
    this.#ctx = ctx;
  }

  /** Asks the backend servers chosen by the placement policy, in its order. */
  async reserve(call: Call): Promise<ReserveResult> {
    const { hosts, hints, clock, plannedPrefills: planned } = this.#ctx;
    const holdMs = this.#prefillHoldMs(call);
    const servers = hosts.candidates(call.pool)
      .filter((server) => !call.excludedServers.has(server.name));
    if (holdMs > 0 && servers.length > 0) {
      return {
        placed: false,
        retryAfterMs: holdMs,
        candidates: servers.length,
      };
    }
    const states = hints.states(servers);
    const probes = call.placement.decodeProbes(call.req, states, clock.now());
    if (probes.length === 0) this.#refreshPool(call.pool);
    let retryAfterMs = MAX_POOL_FULL_PAUSE_MS;
    for (const probe of probes) {
      if (call.signal.aborted) break;
      const server = servers.find((it) => it.name === probe.name);
      if (!server) continue;
      const reply = await this.#askServer(call, server, probe);
      if (reply?.granted) return { placed: true, place: reply.place };
      if (reply) retryAfterMs = Math.min(retryAfterMs, reply.retryAfterMs);
    }
    planned.remove(call.requestId);
    if (servers.length === 0) call.excludedServers.clear();
    return { placed: false, retryAfterMs, candidates: servers.length };
  }

  /**
   * Refreshes the hints of a pool in which no server can be asked. A server that
   * reported `leaving` may accept work again, and the entry is not notified.
   */
  #refreshPool(pool: string): void {
    const { hints, hosts, hintRefresher: refresher } = this.#ctx;
    const members = hosts.all().filter((it) => it.pool === pool);
    refresher.refresh(hints.states(members.slice(0, MAX_HINT_REFRESHES)));
  }

  /**
   * Time for which the prefill pool has enough work, in milliseconds. If the
   * policy reports 0, the prompt is recorded as planned.
   */
  #prefillHoldMs(call: Call): number {
    const {
      hosts,
      hints,
      clock,
      plannedPrefills: planned,
      hintRefresher: refresher,
    } = this.#ctx;
    if (call.service.kind !== ServiceKind.Model) return 0;
    const pool = call.service.prefillPool;
    const states = hints.states(hosts.candidates(pool));
    const forecast = call.placement.forecastPrefill?.(
      call.req,
      states,
      planned.tokens(pool),
      clock.now(),
    );
    if (!forecast) return 0;
    if (forecast.holdMs > 0) {
      refresher.refresh(states);
      return forecast.holdMs;
    }
    planned.add(call.requestId, pool, forecast.expectedTokens);
    return 0;
  }

  /** Ends the lease of a granted slot and cancels its attempt, which frees the slot. */
  release(place: GrantedSlot): void {
    this.#ctx.plannedPrefills.remove(place.ref.requestId);
    place.lease.release();
    void this.#ctx.canceller.cancel(place.client, place.ref);
  }

  async #askServer(
    call: Call,
    server: BackendServer,
    probe: DecodeProbe,
  ): Promise<AskResult | undefined> {
    const { sidecarClients: clients, clock, hints, hosts } = this.#ctx;
    const client = clients.get(server.sidecarAddress);
    hints.sent(server.name, call.req.promptTokens);
    const ref = call.ref;
    const reply = await client.reserve(
      this.#reserveRequest(call, probe),
      call.signal,
    );
    if (!reply) {
      void this.#ctx.canceller.cancel(client, ref);
      call.nextAttempt();
      if (!call.signal.aborted) hosts.observeFailure(server.name);
      return undefined;
    }
    this.#ctx.observe(server.name, reply.incarnation, reply.hint);
    if (!reply.granted) return this.#handleRefusal(call, server, reply);
    const nowMs = clock.now();
    const place = this.#createGrantedSlot(call, server, client, reply, nowMs);
    return { granted: true, place };
  }

  #reserveRequest(call: Call, probe: DecodeProbe) {
    const { req } = call;
    return {
      ...call.ref,
      entryId: this.#ctx.options.entryId,
      service: call.service.name,
      requestClass: req.requestClass,
      promptTokens: req.promptTokens,
      maxOutputTokens: req.maxOutputTokens,
      expectedOutputTokens: req.expectedOutputTokens,
      maxWaitMs: probe.maxWaitMs,
    };
  }

  #createGrantedSlot(
    call: Call,
    server: BackendServer,
    client: SidecarClient,
    reply: Extract<ReserveReply, { granted: true }>,
    nowMs: number,
  ): GrantedSlot {
    const ref = call.ref;
    return {
      ref,
      server,
      client,
      incarnation: reply.incarnation,
      readyAtMs: nowMs + reply.readyInMs,
      expiresAtMs: nowMs + reply.expiresInMs,
      lease: this.#ctx.renewer.add(server.name, client, ref, () => {}),
    };
  }

  #handleRefusal(
    call: Call,
    server: BackendServer,
    reply: Extract<ReserveReply, { granted: false }>,
  ): AskResult {
    log("refused", {
      request: call.requestId,
      attempt: call.attempt,
      server: server.name,
      reason: reply.reason,
    });
    return { granted: false, retryAfterMs: reply.retryAfterMs };
  }
}

type AskResult =
  | { granted: true; place: GrantedSlot }
  | { granted: false; retryAfterMs: number };
