/** Errors based on `verror`, used only for violated invariants and failed startup. */
import VError from "verror";

export { VError };

/** Returns the message of any thrown value, without a stack trace. */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Throws an `InvariantError` with `message` if `condition` is false. */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new VError({ name: "InvariantError" }, "%s", message);
}
