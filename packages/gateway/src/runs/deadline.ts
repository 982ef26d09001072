/** The deadline of a request as an abort signal. */
import { childAbortController } from "@sassafrascleat/runtime";
import {
  type CallerRequest,
  remainingMs,
  type RunContext,
} from "./run_context.ts";

/**
 * Runs `work` with a signal that aborts when the caller disconnects, the
 * request's deadline passes or the process is about to exit.
 */
export async function withDeadline<T>(
  ctx: RunContext,
  req: CallerRequest,
  work: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const deadline = childAbortController(ctx.exitSignal);
  const timer = setTimeout(
    () => deadline.abort(),
    Math.max(1, remainingMs(ctx, req)),
  );
  try {
    return await work(AbortSignal.any([req.signal, deadline.signal]));
  } finally {
    clearTimeout(timer);
    // The work is done; this only removes the listener on the exit signal.
    deadline.abort();
  }
}
