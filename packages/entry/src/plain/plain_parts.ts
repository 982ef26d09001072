/** Types of the inputs of a plain call. */
import type { PlainServiceConfig } from "@sassafrascleat/config";
import type { Outcome, PlainAnswer } from "@sassafrascleat/protocol";
import type { AdmissionTicket } from "@sassafrascleat/routing";
import type { GrantedSlot } from "../lifecycle/call.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import type { Lane } from "../lifecycle/lanes.ts";

/** The HTTP request as the service receives it. */
export interface PlainHttpRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBase64: string;
}

/**
 * Persists a dispatch before it happens. An outcome prevents the dispatch and is
 * reported instead.
 */
export type BeforeDispatch = (
  place: GrantedSlot,
) => Promise<Outcome<PlainAnswer> | undefined>;

/** Inputs of a plain call besides its `Call`. */
export interface PlainCallParts {
  ctx: EntryContext;
  lane: Lane;
  service: PlainServiceConfig;
  httpRequest: PlainHttpRequest;
  ticket: AdmissionTicket;
  repeatable: boolean;
  /** Runs after a slot is granted and before the dispatch. */
  beforeDispatch?: BeforeDispatch;
}
