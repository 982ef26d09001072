/** What a plain call consists of. */
import type { PlainServiceConfig } from "@sassafrascleat/config";
import type { Outcome, PlainAnswer } from "@sassafrascleat/protocol";
import type { AdmissionTicket } from "@sassafrascleat/routing";
import type { Place } from "../lifecycle/call.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import type { Lane } from "../lifecycle/lanes.ts";

/** The HTTP call as the service will see it. */
export interface PlainInput {
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** Makes a dispatch durable first; anything but undefined forbids it. */
export type BeforeDispatch = (
  place: Place,
) => Promise<Outcome<PlainAnswer> | undefined>;

/** What a plain call needs besides its `Call`. */
export interface PlainCallParts {
  ctx: EntryContext;
  lane: Lane;
  service: PlainServiceConfig;
  input: PlainInput;
  ticket: AdmissionTicket;
  repeatable: boolean;
  /** Runs between the grant and the dispatch. */
  beforeDispatch?: BeforeDispatch;
}
