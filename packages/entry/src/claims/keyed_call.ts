/**
 * A call with an idempotency key, which may not be repeated. The place is
 * reserved first, then the claim made durable, then the call sent: a process
 * that was paused in between finds its grant expired. Whoever finds the key
 * claimed asks the claim's sidecar, and calls anew only after that sidecar has
 * proved that the first call never started.
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
import type { Call, Place } from "../lifecycle/call.ts";
import { PlainCall } from "../plain/plain_call.ts";
import type { PlainCallParts } from "../plain/plain_parts.ts";
import { type ClaimRecord, ClaimStatus, holderOf } from "./claim_record.ts";
import { ClaimFollower } from "./claim_follower.ts";
import type { Claims } from "./claims.ts";
import { MAX_TAKEOVERS } from "./constants.ts";

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
  /** The claim that this request may replace. */
  #replaces: AttemptRef | undefined;
  /** The claim of another request that stopped the last try. */
  #held: ClaimRecord | undefined;
  #claimed: AttemptRef | undefined;

  constructor(call: Call, parts: PlainCallParts, claims: Claims, key: CallKey) {
    this.#call = call;
    this.#parts = parts;
    this.#claims = claims;
    this.#key = key;
  }

  async run(): Promise<Outcome<PlainAnswer>> {
    for (let i = 0; i < MAX_TAKEOVERS; i++) {
      const outcome = await this.#try();
      if (!this.#held) return this.#settled(outcome, this.#claimed);
      const held = this.#held;
      const end = await this.#follow(held);
      if (!end.free) return this.#settled(end.outcome, holderOf(held));
      log("takeover", {
        request: this.#call.requestId,
        from: held.requestId,
        attempt: held.attempt,
      });
      this.#replaces = holderOf(held);
      this.#call.nextAttempt();
      this.#parts.ticket.giveUpAtMs = this.#call.req.deadlineMs;
    }
    return notRun(
      NotRunReason.IdempotencyConflict,
      "other requests with this idempotency key came first each time",
      1_000,
    );
  }

  #try(): Promise<Outcome<PlainAnswer>> {
    this.#held = undefined;
    const plain = new PlainCall(this.#call, {
      ...this.#parts,
      beforeDispatch: (place) => this.#claim(place),
    });
    return plain.run();
  }

  async #claim(place: Place): Promise<Outcome<PlainAnswer> | undefined> {
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
        this.#held = result.record;
        return conflict();
      case ClaimStatus.Unavailable:
        return storeUnavailable();
    }
  }

  async #follow(record: ClaimRecord) {
    if (record.bodyHash !== this.#key.bodyHash) {
      return { free: false, outcome: conflict() } as const;
    }
    const follower = new ClaimFollower(this.#parts, this.#claims.wallClock);
    return follower.follow(record, this.#call);
  }

  #settled(
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

function conflict() {
  return notRun(
    NotRunReason.IdempotencyConflict,
    "this idempotency key was used for another call; use a new key",
  );
}

function storeUnavailable() {
  return notRun(
    NotRunReason.StoreUnavailable,
    "idempotency keys can't be recorded now; try again later",
    2_000,
  );
}
