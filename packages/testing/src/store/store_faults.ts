/** Faults of the simulated store: outages, slow and lost responses. */

/** How the store responds to calls. */
export enum StoreMode {
  /** Calls are served. */
  Serve = "serve",
  /** Calls are refused with status 503 and have no effect. */
  Refuse = "refuse",
  /** Calls get no response and have no effect. */
  Hang = "hang",
  /** Connections are closed without a response and calls have no effect. */
  Reset = "reset",
}

/** The active faults. */
export interface StoreFaults {
  /** @default "serve" */
  mode: StoreMode;
  /** Delay before a call takes effect, in milliseconds. @default 0 */
  delayMs: number;
  /** Delay between effect and response, in milliseconds. @default 0 */
  answerDelayMs: number;
  /**
   * Number of next writes that take effect, but whose connection is closed
   * without a response.
   * @default 0
   */
  loseAnswers: number;
  /** Number of next writes that take effect but get no response. @default 0 */
  hangAnswers: number;
  /**
   * Number of next writes whose connection is closed before they take effect.
   * @default 0
   */
  dropWrites: number;
}

export const NO_FAULTS: Readonly<StoreFaults> = {
  mode: StoreMode.Serve,
  delayMs: 0,
  answerDelayMs: 0,
  loseAnswers: 0,
  hangAnswers: 0,
  dropWrites: 0,
};

/** The fault to apply to one call. */
export enum FaultAction {
  None = "none",
  Refuse = "refuse",
  Hang = "hang",
  Reset = "reset",
  ResetAfterEffect = "reset_after_effect",
  HangAfterEffect = "hang_after_effect",
}

/** Selects the fault for each call and decrements the counted faults. */
export class FaultInjector {
  #faults: StoreFaults = { ...NO_FAULTS };

  get current(): StoreFaults {
    return { ...this.#faults };
  }

  /** Sets the given faults; the others are unchanged. */
  set(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Returns the action for the next call. */
  nextAction(isWrite: boolean): FaultAction {
    const faults = this.#faults;
    if (faults.mode === StoreMode.Refuse) return FaultAction.Refuse;
    if (faults.mode === StoreMode.Hang) return FaultAction.Hang;
    if (faults.mode === StoreMode.Reset) return FaultAction.Reset;
    if (!isWrite) return FaultAction.None;
    if (faults.dropWrites > 0) {
      faults.dropWrites -= 1;
      return FaultAction.Reset;
    }
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      return FaultAction.ResetAfterEffect;
    }
    if (faults.hangAnswers > 0) {
      faults.hangAnswers -= 1;
      return FaultAction.HangAfterEffect;
    }
    return FaultAction.None;
  }
}
