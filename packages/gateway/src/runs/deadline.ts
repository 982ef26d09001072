/** The time that a request has, as a signal for everything done for it. */
import {
  type CallerRequest,
  remainingMs,
  type RunContext,
} from "./run_context.ts";

/** Runs `work` until the caller leaves or the request's time is over. */
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
