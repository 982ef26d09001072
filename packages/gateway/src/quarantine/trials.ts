/**
 * Decides which rejected requests are tried all the same. If servers are lost at
 * once for another reason, what all their requests have in common looks like the
 * cause. Then the whole service is rejected, so no run can show otherwise; but
 * nothing runs either that a crash could take along.
 */
import { LRUCache } from "lru-cache";
import type { CrashCause } from "../decide/crash_causes.ts";
import type { RequestKeys } from "./request_keys.ts";

/** Rejected requests in a row after which a service counts as blocked. */
const MAX_REJECTED_IN_A_ROW = 12;
const MAX_SERVICES = 1_024;
/** From so many crashes on, a cause is certain enough to try nothing. */
const CERTAIN_CRASHES_OF_PART = 5;
const CERTAIN_CRASHES_OF_REQUEST = 3;

/** The trials of one router. */
export class Trials {
  /** Rejected requests since the last admitted one, by service. */
  readonly #rejected = new LRUCache<string, number>({ max: MAX_SERVICES });
  /** Requests that were decided about; true if they are tried. */
  readonly #decisions = new WeakMap<RequestKeys, boolean>();

  /** Notes that nothing speaks against the request. */
  recordAdmitted({ service }: RequestKeys): void {
    this.#rejected.delete(service);
  }

  /** Notes that the request was lost with a server: it isn't tried again. */
  recordCrash(keys: RequestKeys): void {
    this.#decisions.set(keys, false);
  }

  /** Whether a request that is to be rejected for the causes is tried. */
  isTrial(keys: RequestKeys, causes: readonly CrashCause[]): boolean {
    const decided = this.#decisions.get(keys);
    if (decided !== undefined) return decided;
    const rejected = (this.#rejected.get(keys.service) ?? 0) + 1;
    const isTrial = rejected > MAX_REJECTED_IN_A_ROW &&
      causes.every((cause) => isUncertain(keys, cause));
    this.#rejected.set(keys.service, isTrial ? 0 : rejected);
    this.#decisions.set(keys, isTrial);
    return isTrial;
  }
}

function isUncertain(
  { whole }: RequestKeys,
  { combinations, engines }: CrashCause,
): boolean {
  const isOfRequest = combinations.some((keys) => keys.includes(whole));
  const certain = isOfRequest
    ? CERTAIN_CRASHES_OF_REQUEST
    : CERTAIN_CRASHES_OF_PART;
  return engines.length < certain;
}
