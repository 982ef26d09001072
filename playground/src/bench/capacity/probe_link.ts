/** Runs a probe in a process of its own and returns what it sends. */
import { fork } from "node:child_process";

/** Which probe to run. */
export interface ProbeOptions {
  /** Compiled file beside this one. */
  file: string;
  args: readonly string[];
  /** Flags of the Node process. */
  flags: readonly string[];
}

/** Resolves with the probe's message; rejects when it ends without one. */
export function runProbe<T>(options: ProbeOptions): Promise<T> {
  const url = new URL(options.file, import.meta.url);
  const child = fork(url, [...options.args], { execArgv: [...options.flags] });
  return new Promise((resolve, reject) => {
    child.once("message", (message) => resolve(message as T));
    child.once(
      "exit",
      (code) => reject(new Error(`${options.file} ended with ${code}`)),
    );
  });
}
