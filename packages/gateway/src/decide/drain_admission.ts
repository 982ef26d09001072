/**
 * Decides whether a router that is about to exit still accepts a request. One
 * whose deadline passes before the router ends its requests is finished in any
 * case. Others are rejected, because their callers can go to another router now
 * but may not repeat a request that was cut off. Deadlines of streams are much
 * longer than the streams, so these are accepted in the first part of the drain
 * whatever their deadline.
 */
import { RouteKind } from "../config/routing_table.ts";

/** When a router drains, in milliseconds of the process clock. */
export interface DrainTimes {
  startMs: number;
  /** When requests in progress are ended. */
  endMs: number;
}

/** What the decision depends on in a request. */
export interface DrainedRequest {
  kind: RouteKind;
  deadlineAtMs: number;
}

/** Part of the drain in which streams are accepted. */
const STREAM_SHARE = 1 / 3;
/** Longest time in which streams are accepted, in milliseconds. */
const MAX_STREAM_MS = 2_500;

/** Whether a draining router accepts a request at `nowMs`. */
export function isAcceptedInDrain(
  { kind, deadlineAtMs }: DrainedRequest,
  { startMs, endMs }: DrainTimes,
  nowMs: number,
): boolean {
  if (deadlineAtMs <= endMs) return true;
  if (kind !== RouteKind.Stream) return false;
  const acceptMs = Math.min(MAX_STREAM_MS, (endMs - startMs) * STREAM_SHARE);
  return nowMs - startMs <= acceptMs;
}
