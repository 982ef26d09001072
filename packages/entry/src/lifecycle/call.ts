/** A caller's request on its way through the entry, and what it may hold. */
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

/** One caller's request; attempts are numbered through it. */
export class Call {
  readonly service: Service;
  readonly policy: Policy;
  readonly placement: PlacementPolicy;
  /** The pool that places are reserved in. */
  readonly pool: string;
  readonly req: PlacementRequest;
  /** Aborts when the caller is gone or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Backend servers not to ask again. */
  readonly avoid = new Set<string>();
  #attempt = 1;

  constructor(fields: CallFields) {
    this.service = fields.service;
    this.policy = fields.policy;
    this.placement = fields.placement;
    this.pool = fields.pool;
    this.req = fields.req;
    this.signal = fields.signal;
  }

  /** The attempt in work; starts at 1. */
  get attempt(): number {
    return this.#attempt;
  }

  get requestId(): string {
    return this.req.requestId;
  }

  get ref(): AttemptRef {
    return { requestId: this.req.requestId, attempt: this.#attempt };
  }

  /** Makes every message of the present attempt void. */
  nextAttempt(): void {
    this.#attempt += 1;
  }
}

/** What a call starts with. */
export interface CallFields {
  service: Service;
  policy: Policy;
  placement: PlacementPolicy;
  pool: string;
  req: PlacementRequest;
  signal: AbortSignal;
}

/** A place that a sidecar granted to one attempt. */
export interface Place {
  ref: AttemptRef;
  server: BackendServer;
  client: SidecarClient;
  incarnation: string;
  /** When the slot is predicted to be free, by the entry's clock. */
  readyAtMs: number;
  /** When the grant expires unless started, by the entry's clock. */
  expiresAtMs: number;
  lease: Lease;
}

/** Why a call's signal aborted. */
export enum AbortCause {
  CallerGone = "caller_gone",
  Deadline = "deadline",
  /** The call has its outcome. */
  Over = "over",
}

/** The outcome of a call that was aborted before anything ran. */
export function abortOutcome(signal: AbortSignal): NotRun {
  if (signal.reason === AbortCause.Deadline) {
    return notRun(
      NotRunReason.DeadlineExceeded,
      "the request's time was over before it could run",
      1_000,
    );
  }
  return notRun(NotRunReason.Cancelled, "the caller went away");
}
