/** Times one answer: first token, gaps between tokens, targets met or not. */
import type { Policy } from "@sassafrascleat/config";
import type { PlacementRequest } from "@sassafrascleat/routing";
import { type Clock, createLogger } from "@sassafrascleat/runtime";
import type { EntryMetrics } from "../metrics.ts";

const log = createLogger("entry:latency");

/** Records the token times of one request. */
export class AnswerMeter {
  readonly #clock: Clock;
  readonly #metrics: EntryMetrics;
  readonly #service: string;
  readonly #req: PlacementRequest;
  #placedAtMs = 0;
  #prefilledAtMs = 0;
  #firstAtMs: number | undefined;
  #lastAtMs = 0;
  #tokens = 0;

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

  /** Records that a decode place was granted just now. */
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
    if (this.#firstAtMs === undefined) this.#first(nowMs);
    else this.#gap(nowMs, count);
    this.#lastAtMs = nowMs;
    this.#tokens += count;
  }

  /** Records that the answer is whole. */
  whole(policy: Policy): void {
    if (this.#firstAtMs === undefined) return;
    const ttftMs = this.#firstAtMs - this.#req.arrivedAtMs;
    const gaps = Math.max(1, this.#tokens - 1);
    const meanGapMs = (this.#lastAtMs - this.#firstAtMs) / gaps;
    const met = ttftMs <= policy.ttftTargetMs &&
      meanGapMs <= policy.tbtTargetMs;
    if (met) this.#metrics.goodput.inc({ service: this.#service });
  }

  #first(nowMs: number): void {
    this.#firstAtMs = nowMs;
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

  #gap(nowMs: number, count: number): void {
    const seconds = (nowMs - this.#lastAtMs) / 1_000 / Math.max(1, count);
    for (let i = 0; i < count; i++) {
      this.#metrics.tbtSeconds.observe({ service: this.#service }, seconds);
    }
  }
}
