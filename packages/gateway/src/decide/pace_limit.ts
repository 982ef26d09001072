/**
 * The limit on this router's concurrent work at one backend server that has just
 * started or returned. It begins at one request, grows by one with each good
 * response that is about as fast as those of the server's peers, and halves when
 * responses slow down, fail or are refused. After the first decrease it grows by
 * one for each full set of concurrent responses only.
 *
 * Latencies are compared as a ratio to the peers' latency, so that load that
 * slows down all servers doesn't count against one of them. A server that is
 * slower by nature has a constant ratio, which is learned as its speed.
 */

/** What one response has changed. */
export enum LimitChange {
  None = "none",
  Raised = "raised",
  Reduced = "reduced",
}

/** The lowest limit: a server without any work could not prove itself. */
const MIN_LIMIT = 1;
/** Responses over which the server's speed is averaged. */
const SPEED_WINDOW = 8;
/** Highest ratio to the peers that is taken for a server's own speed. */
const MAX_SPEED_RATIO = 2.5;
/** Beyond this ratio a server is impaired, and its limit doesn't grow. */
const IMPAIRED_RATIO = 3;
/** Ratio to the server's own speed up to which the limit grows. */
const COMPARABLE_RATIO = 1.5;
/** Ratio to the server's own speed beyond which the limit is halved. */
const SLOW_RATIO = 2;
/** Several results of one overload halve the limit only once. */
const MIN_REDUCTION_INTERVAL_MS = 100;

/** The limit of one backend server. */
export class PaceLimit {
  #value = MIN_LIMIT;
  /** From this limit on, growth is by one per set of responses. */
  #additiveFrom = Infinity;
  #ratio: number | undefined;
  /** The ratio that is normal for this server. */
  #speedRatio: number | undefined;
  #reducedAtMs = -Infinity;

  /** Number of concurrent requests, rounded down. */
  get value(): number {
    return Math.floor(this.#value);
  }

  /** Last latency in multiples of the peers'; undefined if never compared. */
  get ratio(): number | undefined {
    return this.#ratio;
  }

  /**
   * Records a good response. `ratio` is the server's average latency in multiples
   * of its peers'; if it is undefined, only the success counts.
   */
  recordGood(
    nowMs: number,
    latencyMs: number,
    ratio: number | undefined,
  ): LimitChange {
    this.#ratio = ratio ?? this.#ratio;
    const relative = ratio === undefined ? 1 : ratio / this.#learnSpeed(ratio);
    if (relative > SLOW_RATIO) return this.reduce(nowMs, latencyMs);
    const impaired = ratio !== undefined && ratio > IMPAIRED_RATIO;
    if (impaired || relative > COMPARABLE_RATIO) return LimitChange.None;
    this.#value += this.#value < this.#additiveFrom ? 1 : 1 / this.#value;
    return LimitChange.Raised;
  }

  /** Records a failure, a refusal or a slow response: halves the limit. */
  reduce(nowMs: number, latencyMs: number): LimitChange {
    // The request was sent before the last decrease could have an effect.
    if (nowMs - latencyMs < this.#reducedAtMs) return LimitChange.None;
    if (nowMs - this.#reducedAtMs < MIN_REDUCTION_INTERVAL_MS) {
      return LimitChange.None;
    }
    this.#reducedAtMs = nowMs;
    const before = this.value;
    this.#value = Math.max(MIN_LIMIT, this.#value / 2);
    this.#additiveFrom = this.#value;
    return this.value < before ? LimitChange.Reduced : LimitChange.None;
  }

  /**
   * A single request shows how fast the server is by nature; more may slow it
   * down, so that its ratio may only fall then.
   */
  #learnSpeed(ratio: number): number {
    const before = this.#speedRatio ?? ratio;
    const isAlone = this.#value < MIN_LIMIT + 1;
    const change = isAlone || ratio < before ? ratio - before : 0;
    const speed = before + change / SPEED_WINDOW;
    this.#speedRatio = Math.min(MAX_SPEED_RATIO, Math.max(1, speed));
    return this.#speedRatio;
  }
}
