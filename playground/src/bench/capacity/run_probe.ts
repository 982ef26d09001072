/** Runs a probe in a separate process and returns the message it sends. */
import { fork } from "node:child_process";

/** The probe script and how to start it. */
export interface ProbeOptions {
  /** Path of the compiled script, relative to this file. */
  file: string;
  args: readonly string[];
  /** Command-line flags for Node. */
  flags: readonly string[];
}

/** Resolves with the probe's message; rejects if it exits without sending one. */
export function runProbe<T>(options: ProbeOptions): Promise<T> {
  const url = new URL(options.file, import.meta.url);
  const child = fork(url, [...options.args], { execArgv: [...options.flags] });
  return new Promise((resolve, reject) => {
    child.once("message", (message) => resolve(message as T));
    child.once(
      "exit",
      (code) =>
        reject(
          new Error(
            `${options.file} exited with code ${code} before it sent a result`,
          ),
        ),
    );
  });
}
