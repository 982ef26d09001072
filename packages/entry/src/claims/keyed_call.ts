/**
 * A call that must not run twice, protected by an idempotency key. A slot is
 * reserved first, then the claim is made durable, then the call is sent: if the
 * process is paused in between, its reservation has expired by then. A request
 * that finds the key claimed asks the sidecar named in the claim. It sends the
 * call itself only after that sidecar has proven that the first call never
 * started.
 */
import {
  type AttemptRef,
  notRun,
  NotRunReason,
  type Outcome,
  OutcomeKind,
  type PlainAnswer,
} from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import type { Call, GrantedSlot } from "../lifecycle/call.ts";
import { PlainCall } from "../plain/plain_call.ts";
import type { PlainCallParts } from "../plain/plain_parts.ts";
import { type ClaimRecord, ClaimStatus, holderOf } from "./claim_record.ts";
import { ClaimFollower } from "./claim_follower.ts";
import type { Claims } from "./claims.ts";
import { MAX_CLAIM_ATTEMPTS } from "./constants.ts";

const log = createLogger("entry:claims");

/** The hashes of one keyed call. */
export interface CallKey {
  keyHash: string;
  bodyHash: string;
}

/** Runs one keyed call to its outcome. */
export class KeyedCall {
  readonly #call: Call;
  readonly #parts: PlainCallParts;
  readonly #claims: Claims;
  readonly #key: CallKey;
  /** Holder of the claim that this request may replace. */
  #replaces: AttemptRef | undefined;
  /** The claim of another request that stopped the last attempt. */
  #conflictingClaim: ClaimRecord | undefined;
  #claimed: AttemptRef | undefined;

  constructor(call: Call, parts: PlainCallParts, claims: Claims, key: CallKey) {
    this.#call = call;
    this.#parts = parts;
    this.#claims = claims;
    this.#key = key;
  }

  async run(): Promise<Outcome<PlainAnswer>> {
    for (let i = 0; i < MAX_CLAIM_ATTEMPTS; i++) {
      const outcome = await this.#attempt();
      if (!this.#conflictingClaim) return this.#settle(outcome, this.#claimed);
      const held = this.#conflictingClaim;
      const result = await this.#follow(held);
      if (!result.neverRan) return this.#settle(result.outcome, holderOf(held));
      log("takeover", {
        request: this.#call.requestId,
        from: held.requestId,
        attempt: held.attempt,
      });
      this.#replaces = holderOf(held);
      this.#call.nextAttempt();
      this.#parts.ticket.queueDeadlineMs = this.#call.req.deadlineMs;
    }
    return notRun(
      NotRunReason.IdempotencyConflict,
      "another request with this idempotency key was first each time",
      1_000,
    );
  }

  #attempt(): Promise<Outcome<PlainAnswer>> {
    this.#conflictingClaim = undefined;
    const plain = new PlainCall(this.#call, {
      ...this.#parts,
      beforeDispatch: (place) => this.#claim(place),
    });
    return plain.run();
  }

  async #claim(place: GrantedSlot): Promise<Outcome<PlainAnswer> | undefined> {
    const result = await this.#claims.claim({
      ...this.#key,
      ref: place.ref,
      sidecar: place.server.name,
      incarnation: place.incarnation,
      replaces: this.#replaces,
    });
    switch (result.status) {
      case ClaimStatus.Claimed:
        this.#claimed = this.#replaces = place.ref;
        return undefined;
      case ClaimStatus.Held:
        this.#conflictingClaim = result.record;
        return conflictOutcome();
      case ClaimStatus.Unavailable:
        return storeUnavailableOutcome();
    }
  }

  async #follow(record: ClaimRecord) {
    if (record.bodyHash !== this.#key.bodyHash) {
      return { neverRan: false, outcome: conflictOutcome() } as const;
    }
    const follower = new ClaimFollower(this.#parts, this.#claims.wallClock);
    return follower.follow(record, this.#call);
  }

  #settle(
    outcome: Outcome<PlainAnswer>,
    ref: AttemptRef | undefined,
  ): Outcome<PlainAnswer> {
    if (outcome.kind === OutcomeKind.Answered && ref) {
      const { keyHash } = this.#key;
      this.#claims.settle({ keyHash, ref, answer: outcome.value });
    }
    return outcome;
  }
}

function conflictOutcome() {
  return notRun(
    NotRunReason.IdempotencyConflict,
    "this idempotency key was used for another call; use a new key",
  );
}

function storeUnavailableOutcome() {
  return notRun(
    NotRunReason.StoreUnavailable,
    "idempotency keys can't be stored at the moment; try again later",
    2_000,
  );
}
