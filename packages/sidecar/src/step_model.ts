/**
 * A linear model of the decode step, `base + slope * batch`, fitted to the
 * engine's load reports with exponential forgetting, and the slots that a
 * target between tokens allows.
 */

const FORGET = 0.98;
const MIN_VARIANCE = 0.5;

/** Learns step times by batch size. */
export class StepModel {
  #weight = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;
  #lastStepMs = 0;

  /** Records that a step with `batch` requests took `stepMs`. */
  observe(batch: number, stepMs: number): void {
    if (batch <= 0 || stepMs <= 0) return;
    this.#weight = this.#weight * FORGET + 1;
    this.#sumX = this.#sumX * FORGET + batch;
    this.#sumY = this.#sumY * FORGET + stepMs;
    this.#sumXX = this.#sumXX * FORGET + batch * batch;
    this.#sumXY = this.#sumXY * FORGET + batch * stepMs;
    this.#lastStepMs = stepMs;
  }

  /** Predicted step with `batch` requests, in milliseconds; 0 when unknown. */
  stepMs(batch: number): number {
    if (this.#weight === 0) return 0;
    const meanX = this.#sumX / this.#weight;
    const meanY = this.#sumY / this.#weight;
    const variance = this.#sumXX / this.#weight - meanX * meanX;
    if (variance < MIN_VARIANCE) return this.#lastStepMs;
    const covariance = this.#sumXY / this.#weight - meanX * meanY;
    const slope = Math.max(0, covariance / variance);
    return Math.max(0, meanY + slope * (batch - meanX));
  }

  /** Requests that may run while steps stay under `targetMs`; at least 1. */
  slots(targetMs: number, maxRunning: number): number {
    let slots = maxRunning;
    while (slots > 1 && this.stepMs(slots) > targetMs) slots--;
    return slots;
  }
}
