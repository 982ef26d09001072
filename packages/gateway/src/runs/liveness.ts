/**
 * What a check of a backend server shows. Silence proves nothing: a sound server
 * may stand still for a while, and then goes on with all that it had begun.
 */
import { ExchangeOutcome, type ExchangeResult } from "../http/exchange.ts";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { PaceReason } from "../decide/server_pace.ts";
import { ejectBackend } from "./record_outcome.ts";
import { type RunContext, STATUS_MISDIRECTED } from "./run_context.ts";

/** Whether a backend server lives. */
export enum Liveness {
  /** It responds on a new connection. */
  Alive = "alive",
  /** Nothing listens at its address, or another server does. */
  Gone = "gone",
  /**
   * It resets new connections, as a crashed server may, and a sound one that has
   * as many as it takes.
   */
  Refusing = "refusing",
  /** No response in time: it may be either. */
  Silent = "silent",
}

/** Longest time for which sound servers stand still, in milliseconds. */
export const MAX_STANDSTILL_MS = 3_000;

/** Error code of connections to an address that nothing listens at. */
const REFUSED_CODE = "ECONNREFUSED";
/** Error codes of connections that were reset. */
const RESET_CODES = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/**
 * Evaluates a call on a new connection that named the expected server.
 * `isOtherIncarnation` tells that the server has said that it has started anew
 * under the id that the call named. @default false
 */
export function livenessOf(
  result: ExchangeResult,
  isOtherIncarnation = false,
): Liveness {
  if (result.end === ExchangeOutcome.Answered) {
    const isOther = isOtherIncarnation || result.status === STATUS_MISDIRECTED;
    return isOther ? Liveness.Gone : Liveness.Alive;
  }
  const { code = "" } = result;
  if (code === REFUSED_CODE) return Liveness.Gone;
  return RESET_CODES.has(code) ? Liveness.Refusing : Liveness.Silent;
}

/**
 * Sends a silent server no work until it responds, which it is asked to do, or
 * for as long as sound servers stand still.
 */
export function recordSilent(ctx: RunContext, backend: Backend): void {
  const key = incarnationOf(backend);
  if (ctx.health.isSilent(key)) return;
  ctx.log("backend_silent", { backend: backend.id });
  ctx.health.markSilent(key, MAX_STANDSTILL_MS);
  const returnsAtMs = ctx.clock.now() + MAX_STANDSTILL_MS;
  ctx.pace.begin(backend, PaceReason.Silent, returnsAtMs);
  const options = { waitMs: MAX_STANDSTILL_MS, hasConnection: true };
  void ctx.liveness.check(backend, options).then((liveness) => {
    if (liveness === Liveness.Gone) ejectBackend(ctx, backend);
  });
}
