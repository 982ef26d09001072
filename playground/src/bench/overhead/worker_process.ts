/** Worker processes of the overhead benchmark: stand-in sidecars and callers. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** A forked script that answers each message with one message. */
export class WorkerProcess {
  readonly #child: ChildProcess;

  constructor(script: string, args: readonly string[] = []) {
    this.#child = fork(new URL(script, import.meta.url), args);
  }

  /** Sends a message and waits for the reply. */
  async call<T>(message: unknown): Promise<T> {
    const replied = once(this.#child, "message");
    const ended = once(this.#child, "exit").then(() => undefined);
    this.#child.send(message as object);
    const reply = await Promise.race([replied, ended]);
    if (!reply) {
      throw new Error(
        "a worker process of the overhead benchmark exited before it replied",
      );
    }
    return reply[0] as T;
  }

  /** Kills the worker and waits until it has exited. */
  async stop(): Promise<void> {
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await exited;
  }
}
