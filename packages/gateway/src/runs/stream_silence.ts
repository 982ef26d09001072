/**
 * Decides what the silence of a stream means: how long it may last, and whether
 * its engine lives. Sound engines stand still for a while and then go on.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { Liveness, MAX_STANDSTILL_MS } from "./liveness.ts";
import { PROMPT_RESPONSE_MS } from "./liveness_checks.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";

/** Silence before an engine's liveness is checked, in longest allowed event gaps. */
const SILENT_GAPS_BEFORE_CHECK = 2;
/**
 * Shortest silence of a resumable stream before its engine's liveness is checked,
 * in milliseconds; also replaces an unset event gap.
 */
const MIN_SILENCE_MS = 700;

/** Judges the silences of one stream, at all engines that run it. */
export class StreamSilence {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  /** When a check last showed that the stream's engine lives. */
  #aliveAtMs = -Infinity;

  constructor(ctx: RunContext, req: CallerRequest) {
    this.#ctx = ctx;
    this.#req = req;
  }

  /** Silence after which the engine is checked, in milliseconds; 0 for never. */
  get checkAfterMs(): number {
    const { resumable, maxEventGapMs } = this.#req.route;
    if (!resumable) return 0;
    const gapMs = SILENT_GAPS_BEFORE_CHECK * (maxEventGapMs || MIN_SILENCE_MS);
    return Math.max(MIN_SILENCE_MS, gapMs);
  }

  /**
   * Whether an engine that was last heard of at `sinceMs` still runs the stream.
   * One that is silent is asked for as long as sound engines stand still.
   */
  async isAlive(
    engine: Backend,
    sinceMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { health, log } = this.#ctx;
    const liveness = await this.#check(engine, sinceMs);
    if (liveness === Liveness.Alive || signal.aborted) return true;
    const req = this.#req.metadata.requestId;
    log("engine_unreachable", { req, backend: engine.id, liveness });
    if (liveness === Liveness.Gone) health.eject(incarnationOf(engine));
    return false;
  }

  async #check(engine: Backend, sinceMs: number): Promise<Liveness> {
    const { clock, liveness } = this.#ctx;
    const heardAtMs = Math.max(sinceMs, this.#aliveAtMs);
    const waitMs = heardAtMs + MAX_STANDSTILL_MS - clock.now();
    const result = await liveness.check(engine, {
      waitMs: Math.max(PROMPT_RESPONSE_MS, waitMs),
      hasConnection: true,
    });
    if (result === Liveness.Alive) this.#aliveAtMs = clock.now();
    return result;
  }
}
