/**
 * Tracks the last load hint of each backend server and the work sent to the
 * server since. A hint lags behind: it does not include requests sent shortly
 * before it arrived, so those remain counted.
 */
import type { BackendServer, LoadHint } from "@sassafrascleat/protocol";
import type { Clock } from "@sassafrascleat/runtime";
import { HINT_SETTLE_MS } from "./constants.ts";
import type { BackendState } from "./placement.ts";

/** Stores the last load hint of each backend server and counts the work sent since. */
export interface LoadHintTracker {
  /** Records work sent to a backend server. */
  sent(name: string, promptTokens: number): void;
  /** Records a hint that just arrived. */
  recordHint(name: string, hint: LoadHint): void;
  /** Discards the state of a backend server. */
  forget(name: string): void;
  /** Returns the current states of `servers`, in the same order. */
  states(servers: readonly BackendServer[]): BackendState[];
}

/** Options of `createLoadHintTracker`. */
export interface LoadHintTrackerOptions {
  /** A hint is assumed to include work sent at least this long before, in milliseconds. @default 8 */
  settleMs?: number;
}

interface SentRequest {
  atMs: number;
  tokens: number;
}

interface BackendRecord {
  hint: LoadHint | undefined;
  observedAtMs: number;
  sent: SentRequest[];
  tokens: number;
}

/** Creates a `LoadHintTracker` without any hints. */
export function createLoadHintTracker(
  clock: Clock,
  options: LoadHintTrackerOptions = {},
): LoadHintTracker {
  return new CorrectedHintTracker(clock, options.settleMs ?? HINT_SETTLE_MS);
}

class CorrectedHintTracker implements LoadHintTracker {
  readonly #clock: Clock;
  readonly #settleMs: number;
  readonly #records = new Map<string, BackendRecord>();

  constructor(clock: Clock, settleMs: number) {
    this.#clock = clock;
    this.#settleMs = settleMs;
  }

  sent(name: string, promptTokens: number): void {
    const record = this.#recordOf(name);
    record.sent.push({ atMs: this.#clock.now(), tokens: promptTokens });
    record.tokens += promptTokens;
  }

  recordHint(name: string, hint: LoadHint): void {
    const record = this.#recordOf(name);
    const nowMs = this.#clock.now();
    record.hint = hint;
    record.observedAtMs = nowMs;
    record.sent = record.sent.filter((it) => it.atMs > nowMs - this.#settleMs);
    record.tokens = record.sent.reduce((sum, it) => sum + it.tokens, 0);
  }

  forget(name: string): void {
    this.#records.delete(name);
  }

  states(servers: readonly BackendServer[]): BackendState[] {
    const nowMs = this.#clock.now();
    return servers.map((server) => {
      const record = this.#records.get(server.name);
      return {
        server,
        hint: record?.hint,
        hintAgeMs: record?.hint ? nowMs - record.observedAtMs : 0,
        requestsSentSinceHint: record?.sent.length ?? 0,
        tokensSentSinceHint: record?.tokens ?? 0,
      };
    });
  }

  #recordOf(name: string): BackendRecord {
    let record = this.#records.get(name);
    if (!record) {
      record = { hint: undefined, observedAtMs: 0, sent: [], tokens: 0 };
      this.#records.set(name, record);
    }
    return record;
  }
}
