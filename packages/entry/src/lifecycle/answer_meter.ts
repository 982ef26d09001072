/** Times one answer: first token, gaps between tokens, targets met or not. */
import type { Policy } from "@sassafrascleat/config";
import type { Clock } from "@sassafrascleat/runtime";
import type { EntryMetrics } from "../metrics.ts";

/** Records the token times of one request. */
export class AnswerMeter {
  readonly #clock: Clock;
  readonly #metrics: EntryMetrics;
  readonly #service: string;
  readonly #arrivedAtMs: number;
  #firstAtMs: number | undefined;
  #lastAtMs = 0;
  #tokens = 0;

  constructor(
    clock: Clock,
    metrics: EntryMetrics,
    service: string,
    arrivedAtMs: number,
  ) {
    this.#clock = clock;
    this.#metrics = metrics;
    this.#service = service;
    this.#arrivedAtMs = arrivedAtMs;
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
    const ttftMs = this.#firstAtMs - this.#arrivedAtMs;
    const gaps = Math.max(1, this.#tokens - 1);
    const meanGapMs = (this.#lastAtMs - this.#firstAtMs) / gaps;
    const met = ttftMs <= policy.ttftTargetMs &&
      meanGapMs <= policy.tbtTargetMs;
    if (met) this.#metrics.goodput.inc({ service: this.#service });
  }

  #first(nowMs: number): void {
    this.#firstAtMs = nowMs;
    const seconds = (nowMs - this.#arrivedAtMs) / 1_000;
    this.#metrics.ttftSeconds.observe({ service: this.#service }, seconds);
  }

  #gap(nowMs: number, count: number): void {
    const seconds = (nowMs - this.#lastAtMs) / 1_000 / Math.max(1, count);
    for (let i = 0; i < count; i++) {
      this.#metrics.tbtSeconds.observe({ service: this.#service }, seconds);
    }
  }
}
