/**
 * Linear model of the decode step time, `base + slope * batch`, fitted to the
 * engine's load reports with exponentially decaying weights. Predicts the
 * number of slots that keep the time between tokens below a target.
 */

const DECAY = 0.98;
const MIN_VARIANCE = 0.5;

/** Estimates the time of a decode step by batch size. */
export class StepTimeModel {
  #weight = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;
  #lastStepMs = 0;

  /** Records that a step with `batch` requests took `stepMs` milliseconds. */
  observe(batch: number, stepMs: number): void {
    if (batch <= 0 || stepMs <= 0) return;
    this.#weight = this.#weight * DECAY + 1;
    this.#sumX = this.#sumX * DECAY + batch;
    this.#sumY = this.#sumY * DECAY + stepMs;
    this.#sumXX = this.#sumXX * DECAY + batch * batch;
    this.#sumXY = this.#sumXY * DECAY + batch * stepMs;
    this.#lastStepMs = stepMs;
  }

  /**
   * Predicts the time of a step with `batch` requests, in milliseconds; 0 if
   * unknown.
   */
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

  /**
   * Returns how many requests, up to `maxRunning`, can run with steps of at
   * most `targetMs` milliseconds; at least 1.
   */
  slots(targetMs: number, maxRunning: number): number {
    let slots = maxRunning;
    while (slots > 1 && this.stepMs(slots) > targetMs) slots--;
    return slots;
  }
}
