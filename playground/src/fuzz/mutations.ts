/**
 * Mutations of the product, applied where an entry talks to a sidecar or a
 * sidecar to its engine. The processes then behave as if a rule were missing.
 * The fuzzer must detect every mutation; an undetected one is a defect of the
 * fuzzer.
 */

/** Rule of the product that is deliberately broken. */
export enum Mutation {
  /**
   * A call that has not started is reported as settled, but no tombstone is
   * recorded for it.
   */
  SkipTombstone = "skip-tombstone",
  /** A call that may have run is reported as not run. */
  RetryUnknown = "retry-unknown",
  /** Cancel requests never reach the engine. */
  ForgetCancel = "forget-cancel",
  /**
   * A call with an unknown outcome after a sidecar restart is reported as not
   * run, as if the sidecar still had the state of its previous incarnation.
   */
  IgnoreIncarnation = "ignore-incarnation",
  /** Duplicate frames reach the caller twice. */
  AcceptCrossedFrame = "accept-crossed-frame",
  /** A sidecar that is leaving continues to accept work. */
  AcceptWorkWhileLeaving = "accept-work-while-leaving",
}

/** A mutation that is in force in one run, and how often it took effect. */
export class ActiveMutation {
  readonly kind: Mutation;
  #effects = 0;

  constructor(kind: Mutation) {
    this.kind = kind;
  }

  /** Number of times that the mutation changed or withheld a message. */
  get effects(): number {
    return this.#effects;
  }

  countEffect(): void {
    this.#effects += 1;
  }
}

/** Names of the mutations on the command line. */
export const MUTATION_NAMES: readonly string[] = Object.values(Mutation);

/** Returns the mutation with this name, or undefined if there is none. */
export function findMutation(name: string): Mutation | undefined {
  return Object.values(Mutation).find((item) => item === name);
}
