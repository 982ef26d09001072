/** The deadline of a request as an abort signal. */
import {
  type CallerRequest,
  remainingMs,
  type RunContext,
} from "./run_context.ts";

/**
 * Runs `work` with a signal that aborts when the caller disconnects or the
 * request's deadline passes.
 */
export async function withDeadline<T>(
  ctx: RunContext,
  req: CallerRequest,
  work: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const deadline = new AbortController();
  const timer = setTimeout(
    () => deadline.abort(),
    Math.max(1, remainingMs(ctx, req)),
  );
  try {
    return await work(AbortSignal.any([req.signal, deadline.signal]));
  } finally {
    clearTimeout(timer);
  }
}
