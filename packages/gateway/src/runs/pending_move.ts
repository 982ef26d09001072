/**
 * A move in progress: it goes on beside the stream that it concerns, and its
 * engine may stand still before it answers.
 */
import { childAbortController, sleep } from "@sassafrascleat/runtime";
import type { KvSource } from "../http/wire_codec.ts";
import type { Reservation } from "./decode_reservations.ts";

/** Where a stopped run continues. */
export interface MovedRun {
  reservation: Reservation;
  source: KvSource | undefined;
}

/** When a move ends early. */
export interface MoveSignals {
  /** Aborts when the move is given up. */
  cancelled: AbortSignal;
  /** Aborts when the engine has sent the first event of the run. */
  begun: AbortSignal;
  /** Aborts when the stream of the run has been cut off. */
  cut: AbortSignal;
}

/** Moves one run; returns undefined if it stays where it is. */
export type MoveTask = (signals: MoveSignals) => Promise<MovedRun | undefined>;

/** A move in progress. */
export class PendingMove {
  readonly #cancelled: AbortController;
  readonly #cut = new AbortController();
  readonly #result: Promise<MovedRun | undefined>;

  constructor(task: MoveTask, begun: AbortSignal, signal: AbortSignal) {
    this.#cancelled = childAbortController(signal);
    this.#result = task({
      cancelled: this.#cancelled.signal,
      begun,
      cut: this.#cut.signal,
    });
  }

  /**
   * Where the run continues whose stream was cut off, if that is known within
   * `forMs`.
   */
  async wait(forMs: number): Promise<MovedRun | undefined> {
    this.#cut.abort();
    const { signal } = this.#cancelled;
    if (forMs < Infinity) {
      void sleep(forMs, signal).then(() => this.#cancelled.abort());
    }
    const moved = await this.#result;
    this.#cancelled.abort();
    return moved;
  }

  /** Gives the move up because the stream has ended otherwise. */
  cancel(): void {
    this.#cancelled.abort();
    void this.#result.then((moved) => moved?.reservation.release());
  }
}
