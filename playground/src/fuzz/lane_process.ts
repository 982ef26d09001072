/**
 * A lane that runs in a process of its own, so that the deployments of other
 * lanes can't hold up its event loop.
 */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { LaneOptions, LaneReport } from "./lane.ts";

const LANE_MAIN = fileURLToPath(
  new URL("../../dist/fuzz/lane_main.js", import.meta.url),
);

/** Kinds of events that a lane's process sends. */
export enum LaneEventKind {
  Run = "run",
  Report = "report",
}

/** Event of a lane: the end of a run or of the lane. */
export type LaneEvent =
  | { kind: LaneEventKind.Run; effects: number }
  | { kind: LaneEventKind.Report; report: LaneReport };

/** A running lane. */
export class LaneProcess {
  /** The lane's report; one with an error if its process ended without one. */
  readonly report: Promise<LaneReport>;
  readonly #child: ChildProcess;

  constructor(options: LaneOptions, onRun: (effects: number) => void) {
    this.#child = fork(LANE_MAIN, [JSON.stringify(options)], { execArgv: [] });
    this.report = this.#follow(onRun);
  }

  /** Stops the lane after the run in progress. */
  stop(): void {
    if (this.#child.connected) this.#child.send("stop");
  }

  #follow(onRun: (effects: number) => void): Promise<LaneReport> {
    return new Promise((resolve) => {
      this.#child.on("message", (event: LaneEvent) => {
        if (event.kind === LaneEventKind.Run) onRun(event.effects);
        else resolve(event.report);
      });
      this.#child.once("error", (err) => resolve({ error: String(err) }));
      this.#child.once("exit", (code, signal) => {
        const end = code ?? signal;
        resolve({ error: `a lane ended with ${end} and without a report` });
      });
    });
  }
}
