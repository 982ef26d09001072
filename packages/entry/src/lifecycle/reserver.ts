/**
 * Reserves places at sidecars. The sidecar decides; hints only tell whom to
 * ask. A reservation whose answer was lost is cancelled in the background and
 * its attempt number is not used again.
 */
import { ServiceKind } from "@sassafrascleat/config";
import type { BackendServer, ReserveReply } from "@sassafrascleat/protocol";
import type { DecodeProbe } from "@sassafrascleat/routing";
import { createLogger } from "@sassafrascleat/runtime";
import { MAX_BLOCKED_MS } from "../constants.ts";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import type { Call, Place } from "./call.ts";
import type { EntryContext } from "./context.ts";

const log = createLogger("entry:reserve");

/** A place, or the time after which asking again makes sense. */
export type ReserveResult =
  | { placed: true; place: Place }
  | { placed: false; retryAfterMs: number; candidates: number };

/** Asks sidecars for places. */
export class Reserver {
  readonly #ctx: EntryContext;

  constructor(ctx: EntryContext) {
    this.#ctx = ctx;
  }

  /** Asks the backend servers that the policy names, in its order. */
  async reserve(call: Call): Promise<ReserveResult> {
    const { hosts, hints, clock, planned } = this.#ctx;
    const holdMs = this.#holdMs(call);
    const servers = hosts.candidates(call.pool)
      .filter((server) => !call.avoid.has(server.name));
    if (holdMs > 0 && servers.length > 0) {
      return {
        placed: false,
        retryAfterMs: holdMs,
        candidates: servers.length,
      };
    }
    const states = hints.states(servers);
    const probes = call.placement.decodeProbes(call.req, states, clock.now());
    let retryAfterMs = MAX_BLOCKED_MS;
    for (const probe of probes) {
      if (call.signal.aborted) break;
      const server = servers.find((it) => it.name === probe.name);
      if (!server) continue;
      const reply = await this.#ask(call, server, probe);
      if (reply?.granted) return { placed: true, place: reply.place };
      if (reply) retryAfterMs = Math.min(retryAfterMs, reply.retryAfterMs);
    }
    planned.remove(call.requestId);
    if (servers.length === 0) call.avoid.clear();
    return { placed: false, retryAfterMs, candidates: servers.length };
  }

  /** Time for which the prefill pool is busy enough; plans the prompt when 0. */
  #holdMs(call: Call): number {
    const { hosts, hints, clock, planned, refresher } = this.#ctx;
    if (call.service.kind !== ServiceKind.Model) return 0;
    const pool = call.service.prefillPool;
    const states = hints.states(hosts.candidates(pool));
    const outlook = call.placement.outlook?.(
      call.req,
      states,
      planned.tokens(pool),
      clock.now(),
    );
    if (!outlook) return 0;
    if (outlook.holdMs > 0) {
      refresher.refresh(states);
      return outlook.holdMs;
    }
    planned.add(call.requestId, pool, outlook.expectedTokens);
    return 0;
  }

  /** Gives a place back; nothing stays held at its sidecar. */
  release(place: Place): void {
    this.#ctx.planned.remove(place.ref.requestId);
    place.lease.release();
    void this.#ctx.canceller.cancel(place.client, place.ref);
  }

  async #ask(
    call: Call,
    server: BackendServer,
    probe: DecodeProbe,
  ): Promise<Asked | undefined> {
    const { clients, clock, hints, hosts } = this.#ctx;
    const client = clients.at(server.sidecarAddress);
    hints.sent(server.name, call.req.promptTokens);
    const ref = call.ref;
    const reply = await client.reserve(
      this.#message(call, probe),
      call.signal,
    );
    if (!reply) {
      void this.#ctx.canceller.cancel(client, ref);
      call.nextAttempt();
      if (!call.signal.aborted) hosts.observeFailure(server.name);
      return undefined;
    }
    this.#ctx.observe(server.name, reply.incarnation, reply.hint);
    if (!reply.granted) return this.#refused(call, server, reply);
    const nowMs = clock.now();
    const place = this.#place(call, server, client, reply, nowMs);
    return { granted: true, place };
  }

  #message(call: Call, probe: DecodeProbe) {
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

  #place(
    call: Call,
    server: BackendServer,
    client: SidecarClient,
    reply: Extract<ReserveReply, { granted: true }>,
    nowMs: number,
  ): Place {
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

  #refused(
    call: Call,
    server: BackendServer,
    reply: Extract<ReserveReply, { granted: false }>,
  ): Asked {
    log("refused", {
      request: call.requestId,
      attempt: call.attempt,
      server: server.name,
      reason: reply.reason,
    });
    return { granted: false, retryAfterMs: reply.retryAfterMs };
  }
}

type Asked =
  | { granted: true; place: Place }
  | { granted: false; retryAfterMs: number };
