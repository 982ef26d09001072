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

/** What became of a run that was to be moved. */
export interface MoveOutcome {
  /** Where the run continues; undefined if it doesn't. */
  moved?: MovedRun;
  /**
   * A call may have stopped the run. Its stream is closed then, which is also
   * how a response without a length ends.
   */
  mayHaveStopped: boolean;
}

/** The outcome for a run that ended, or was lost, where it was. */
export const NOT_MOVED: MoveOutcome = { mayHaveStopped: false };

/** How a stream has ended whose run was to be moved. */
export enum MovedStreamEnd {
  /** The stream is incomplete. */
  Cut = "cut",
  /** Its connection was closed, because the run has ended or was stopped. */
  Closed = "closed",
}

/** When a move ends early. */
export interface MoveSignals {
  /** Aborts when the move is given up. */
  cancelled: AbortSignal;
  /** Aborts when the engine has sent the first event of the run. */
  begun: AbortSignal;
  /** Aborts when the stream has ended and the run may not have. */
  cut: AbortSignal;
  /** Aborts before `cut` if the stream has ended as a complete one does. */
  closed: AbortSignal;
}

/** Moves one run, unless it ends before. */
export type MoveTask = (signals: MoveSignals) => Promise<MoveOutcome>;

/** A move in progress. */
export class PendingMove {
  readonly #cancelled: AbortController;
  readonly #cut = new AbortController();
  readonly #closed = new AbortController();
  readonly #outcome: Promise<MoveOutcome>;

  constructor(task: MoveTask, begun: AbortSignal, signal: AbortSignal) {
    this.#cancelled = childAbortController(signal);
    this.#outcome = task({
      cancelled: this.#cancelled.signal,
      begun,
      cut: this.#cut.signal,
      closed: this.#closed.signal,
    });
  }

  /** What became of the run whose stream has ended, if known within `forMs`. */
  async wait(end: MovedStreamEnd, forMs: number): Promise<MoveOutcome> {
    if (end === MovedStreamEnd.Closed) this.#closed.abort();
    this.#cut.abort();
    const { signal } = this.#cancelled;
    if (forMs < Infinity) {
      void sleep(forMs, signal).then(() => this.#cancelled.abort());
    }
    const outcome = await this.#outcome;
    this.#cancelled.abort();
    return outcome;
  }

  /** Gives the move up because the stream has ended otherwise. */
  cancel(): void {
    this.#cancelled.abort();
    void this.#outcome.then(({ moved }) => moved?.reservation.release());
  }
}
