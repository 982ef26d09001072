/** Faults of the stand-in store: outages, slow answers and lost answers. */

/** How the store takes calls. */
export enum StoreMode {
  /** Calls are served. */
  Serve = "serve",
  /** Calls are refused with status 503 before anything happens. */
  Refuse = "refuse",
  /** Calls get no answer and have no effect. */
  Hang = "hang",
  /** The connection is cut before anything happens. */
  Reset = "reset",
}

/** The faults in force. */
export interface StoreFaults {
  /** @default "serve" */
  mode: StoreMode;
  /** Delay before a call takes effect, in milliseconds. @default 0 */
  delayMs: number;
  /** Delay between effect and answer, in milliseconds. @default 0 */
  answerDelayMs: number;
  /** Next writes that take effect but whose connection is cut. @default 0 */
  loseAnswers: number;
  /** Next writes that take effect but are never answered. @default 0 */
  hangAnswers: number;
  /** Next writes that are cut before they take effect. @default 0 */
  dropWrites: number;
}

/** No faults. */
export const NO_FAULTS: Readonly<StoreFaults> = {
  mode: StoreMode.Serve,
  delayMs: 0,
  answerDelayMs: 0,
  loseAnswers: 0,
  hangAnswers: 0,
  dropWrites: 0,
};

/** What to do with one call. */
export enum FaultAction {
  None = "none",
  Refuse = "refuse",
  Hang = "hang",
  Reset = "reset",
  ResetAfterEffect = "reset_after_effect",
  HangAfterEffect = "hang_after_effect",
}

/** Decides what happens to each call and uses up the counted faults. */
export class FaultPlan {
  #faults: StoreFaults = { ...NO_FAULTS };

  get current(): StoreFaults {
    return { ...this.#faults };
  }

  /** Sets the named faults; the others stay. */
  set(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** The action for a call that now comes in. */
  next(isWrite: boolean): FaultAction {
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
