/** Runs a stream at the software version that it began at, or will begin at. */
import type { StreamVersion } from "../versions/stream_version.ts";
import {
  type CallerRequest,
  type RunContext,
  RunEnd,
  type RunOutcome,
} from "./run_context.ts";
import type { StreamFinisher } from "./stream_outcome.ts";

/** Creates the handle for the version of a request's stream. */
export function openVersion(
  ctx: RunContext,
  req: CallerRequest,
): StreamVersion {
  return ctx.versions.open({
    ...req.metadata,
    service: req.service.name,
    resumable: req.route.resumable,
  });
}

/**
 * Runs `work` once it is known at which version the stream may run, and notes
 * whether the stream came to its end. Rejects a request whose version can't be
 * found out.
 */
export async function withVersion(
  version: StreamVersion,
  finisher: StreamFinisher,
  signal: AbortSignal,
  work: () => Promise<RunOutcome>,
): Promise<RunOutcome> {
  if (!await version.resolve(signal)) {
    return signal.aborted ? finisher.aborted() : finisher.versionUnknown();
  }
  let complete = false;
  try {
    const outcome = await work();
    complete = outcome.end === RunEnd.Answered;
    return outcome;
  } finally {
    version.close(complete);
  }
}
