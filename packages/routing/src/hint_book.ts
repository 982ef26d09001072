/**
 * Hints about backend servers and what was sent since. A hint lags: a message
 * sent shortly before it arrived is not part of it yet and stays counted.
 */
import type { BackendServer, LoadHint } from "@sassafrascleat/protocol";
import type { Clock } from "@sassafrascleat/runtime";
import { HINT_SETTLE_MS } from "./constants.ts";
import type { BackendState } from "./placement.ts";

/** Keeps the last hint of each backend server, corrected by what was sent. */
export interface HintBook {
  /** Records work sent to a backend server. */
  sent(name: string, promptTokens: number): void;
  /** Records a hint that just arrived. */
  observe(name: string, hint: LoadHint): void;
  /** Forgets a backend server. */
  forget(name: string): void;
  /** The states of `servers` now, in the same order. */
  states(servers: readonly BackendServer[]): BackendState[];
}

/** Options of a hint book. */
export interface HintBookOptions {
  /** Age from which sent work counts as part of a hint, in milliseconds. @default 8 */
  settleMs?: number;
}

interface Sent {
  atMs: number;
  tokens: number;
}

interface Page {
  hint: LoadHint | undefined;
  observedAtMs: number;
  sent: Sent[];
  tokens: number;
}

/** Creates an empty hint book. */
export function createHintBook(
  clock: Clock,
  options: HintBookOptions = {},
): HintBook {
  return new CorrectedHintBook(clock, options.settleMs ?? HINT_SETTLE_MS);
}

class CorrectedHintBook implements HintBook {
  readonly #clock: Clock;
  readonly #settleMs: number;
  readonly #pages = new Map<string, Page>();

  constructor(clock: Clock, settleMs: number) {
    this.#clock = clock;
    this.#settleMs = settleMs;
  }

  sent(name: string, promptTokens: number): void {
    const page = this.#pageOf(name);
    page.sent.push({ atMs: this.#clock.now(), tokens: promptTokens });
    page.tokens += promptTokens;
  }

  observe(name: string, hint: LoadHint): void {
    const page = this.#pageOf(name);
    const nowMs = this.#clock.now();
    page.hint = hint;
    page.observedAtMs = nowMs;
    page.sent = page.sent.filter((it) => it.atMs > nowMs - this.#settleMs);
    page.tokens = page.sent.reduce((sum, it) => sum + it.tokens, 0);
  }

  forget(name: string): void {
    this.#pages.delete(name);
  }

  states(servers: readonly BackendServer[]): BackendState[] {
    const nowMs = this.#clock.now();
    return servers.map((server) => {
      const page = this.#pages.get(server.name);
      return {
        server,
        hint: page?.hint,
        hintAgeMs: page?.hint ? nowMs - page.observedAtMs : 0,
        sentSinceHint: page?.sent.length ?? 0,
        tokensSentSinceHint: page?.tokens ?? 0,
      };
    });
  }

  #pageOf(name: string): Page {
    let page = this.#pages.get(name);
    if (!page) {
      page = { hint: undefined, observedAtMs: 0, sent: [], tokens: 0 };
      this.#pages.set(name, page);
    }
    return page;
  }
}
