/** Errors by `verror`, for broken invariants and failed start-up only. */
import VError from "verror";

export { VError };

/** The message of anything that was thrown, without a stack. */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Stops the caller when an invariant does not hold. */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new VError({ name: "InvariantError" }, "%s", message);
}
