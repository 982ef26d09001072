/** A caller's request while the entry handles it, and the slot granted to it. */
import type { Policy, Service } from "@sassafrascleat/config";
import {
  type AttemptRef,
  type BackendServer,
  type NotRun,
  notRun,
  NotRunReason,
} from "@sassafrascleat/protocol";
import type {
  PlacementPolicy,
  PlacementRequest,
} from "@sassafrascleat/routing";
import type { SidecarClient } from "../sidecar_client/sidecar_client.ts";
import type { Lease } from "../sidecar_client/renewer.ts";

/** One caller's request and the number of its current attempt. */
export class Call {
  readonly service: Service;
  readonly policy: Policy;
  readonly placement: PlacementPolicy;
  /** The pool in which slots are reserved. */
  readonly pool: string;
  readonly req: PlacementRequest;
  /** Aborts, with an `AbortCause`, when the call must stop or has ended. */
  readonly signal: AbortSignal;
  /** Backend servers not to ask again; cleared when no other is left. */
  readonly excludedServers = new Set<string>();
  #attempt = 1;

  constructor(fields: CallFields) {
    this.service = fields.service;
    this.policy = fields.policy;
    this.placement = fields.placement;
    this.pool = fields.pool;
    this.req = fields.req;
    this.signal = fields.signal;
  }

  /** Number of the current attempt; starts at 1. */
  get attempt(): number {
    return this.#attempt;
  }

  get requestId(): string {
    return this.req.requestId;
  }

  get ref(): AttemptRef {
    return { requestId: this.req.requestId, attempt: this.#attempt };
  }

  /** Starts a new attempt; messages of the previous one no longer count. */
  nextAttempt(): void {
    this.#attempt += 1;
  }
}

/** Initial values of a call. */
export interface CallFields {
  service: Service;
  policy: Policy;
  placement: PlacementPolicy;
  pool: string;
  req: PlacementRequest;
  signal: AbortSignal;
}

/** A slot that a sidecar granted to one attempt. */
export interface GrantedSlot {
  ref: AttemptRef;
  server: BackendServer;
  client: SidecarClient;
  incarnation: string;
  /** Predicted time at which the slot becomes free, by the entry's clock. */
  readyAtMs: number;
  /** When the grant expires unless the attempt starts, by the entry's clock. */
  expiresAtMs: number;
  lease: Lease;
}

/** Why a call's signal aborted. */
export enum AbortCause {
  CallerGone = "caller_gone",
  Deadline = "deadline",
  /** The call has an outcome. */
  Finished = "over",
}

/** The outcome of a call that was aborted before anything ran. */
export function abortOutcome(signal: AbortSignal): NotRun {
  if (signal.reason === AbortCause.Deadline) {
    return notRun(
      NotRunReason.DeadlineExceeded,
      "the request's deadline passed before it could run",
      1_000,
    );
  }
  return notRun(NotRunReason.Cancelled, "the caller disconnected");
}
