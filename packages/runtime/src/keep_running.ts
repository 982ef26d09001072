/**
 * Keeps the background tasks of a process running. An exception would end the
 * loop of a task for good while the process goes on without it.
 */
import { errorMessage } from "./error.ts";
import type { Logger } from "./log.ts";
import { sleep } from "./wait.ts";

/** Options of {@link keepRunning}. */
export interface KeepRunningOptions {
  /** What the task is, in logs. */
  name: string;
  log: Logger;
  signal: AbortSignal;
  /** Runs until its signal aborts. */
  run: (signal: AbortSignal) => Promise<void>;
}

const RESTART_PAUSE_MS = 1_000;

/** Runs a task until the signal aborts, and again whenever it has failed. */
export async function keepRunning(options: KeepRunningOptions): Promise<void> {
  const { name, log, signal, run } = options;
  while (!signal.aborted) {
    try {
      return await run(signal);
    } catch (err) {
      log("task_failed", { task: name, message: errorMessage(err) });
    }
    await sleep(RESTART_PAUSE_MS, signal);
  }
}
