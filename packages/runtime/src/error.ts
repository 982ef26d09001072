/** Errors by `verror`, for broken invariants and failed start-up only. */
import VError from "verror";

export { VError };

/** The message of anything that was thrown, without a stack. */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Stops the caller when an invariant does not hold. */
export function invariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new VError({ name: "InvariantError" }, "%s", message);
}
