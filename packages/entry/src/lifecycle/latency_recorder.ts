/**
 * Measures the latency of one answer: time to first token, time between tokens,
 * and whether both met their targets.
 */
import type { Policy } from "@sassafrascleat/config";
import type { PlacementRequest } from "@sassafrascleat/routing";
import { type Clock, createLogger } from "@sassafrascleat/runtime";
import type { EntryMetrics } from "../metrics.ts";

const log = createLogger("entry:latency");

/** Records the token latencies of one request. */
export class LatencyRecorder {
  readonly #clock: Clock;
  readonly #metrics: EntryMetrics;
  readonly #service: string;
  readonly #req: PlacementRequest;
  #placedAtMs = 0;
  #prefilledAtMs = 0;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #tokenCount = 0;

  constructor(
    clock: Clock,
    metrics: EntryMetrics,
    service: string,
    req: PlacementRequest,
  ) {
    this.#clock = clock;
    this.#metrics = metrics;
    this.#service = service;
    this.#req = req;
  }

  /** Records that a decode slot was granted just now. */
  placed(): void {
    this.#placedAtMs = this.#clock.now();
  }

  /** Records that the prompt's prefill ended just now. */
  prefilled(): void {
    this.#prefilledAtMs = this.#clock.now();
  }

  /** Records tokens that arrived just now. */
  tokens(count: number): void {
    const nowMs = this.#clock.now();
    if (this.#firstTokenAtMs === undefined) this.#recordFirstToken(nowMs);
    else this.#recordTokenGaps(nowMs, count);
    this.#lastTokenAtMs = nowMs;
    this.#tokenCount += count;
  }

  /** Records that the answer is complete; counts it if it met its targets. */
  completed(policy: Policy): void {
    if (this.#firstTokenAtMs === undefined) return;
    const ttftMs = this.#firstTokenAtMs - this.#req.arrivedAtMs;
    const gaps = Math.max(1, this.#tokenCount - 1);
    const meanGapMs = (this.#lastTokenAtMs - this.#firstTokenAtMs) / gaps;
    const metTargets = ttftMs <= policy.ttftTargetMs &&
      meanGapMs <= policy.tbtTargetMs;
    if (metTargets) this.#metrics.goodput.inc({ service: this.#service });
  }

  #recordFirstToken(nowMs: number): void {
    this.#firstTokenAtMs = nowMs;
    log("first_token", {
      request: this.#req.requestId,
      prompt_tokens: this.#req.promptTokens,
      queued_ms: Math.round(this.#placedAtMs - this.#req.arrivedAtMs),
      prefill_ms: Math.round(this.#prefilledAtMs - this.#placedAtMs),
      start_ms: Math.round(nowMs - this.#prefilledAtMs),
    });
    const seconds = (nowMs - this.#req.arrivedAtMs) / 1_000;
    this.#metrics.ttftSeconds.observe({ service: this.#service }, seconds);
  }

  #recordTokenGaps(nowMs: number, count: number): void {
    const seconds = (nowMs - this.#lastTokenAtMs) / 1_000 / Math.max(1, count);
    for (let i = 0; i < count; i++) {
      this.#metrics.tbtSeconds.observe({ service: this.#service }, seconds);
    }
  }
}
