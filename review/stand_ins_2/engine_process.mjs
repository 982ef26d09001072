/** An engine as a process of its own, as its parent sees it. */
import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

const PROGRAM = fileURLToPath(new URL("engine_main.mjs", import.meta.url));

export class EngineProcess {
  #child;
  #port = 0;

  constructor(fields, record) {
    this.fields = fields;
    this.record = record;
  }

  /** Starts it, always at the same address; returns its entry for the store. */
  async start() {
    const args = [JSON.stringify(this.fields), String(this.#port)];
    this.#child = fork(PROGRAM, args);
    const entry = await new Promise((resolve, reject) => {
      this.#child.once("exit", () => reject(new Error("an engine has ended")));
      this.#child.on("message", ({ text, address, entry }) => {
        if (text) this.record(text);
        if (!address) return;
        this.#port = Number(address.split(":")[1]);
        resolve(entry);
      });
    });
    this.record(`engine ${this.fields.id} starts, born ${entry.born}`);
    return entry;
  }

  async kill() {
    if (this.#child.exitCode !== null || this.#child.signalCode) return;
    this.#child.removeAllListeners("exit");
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await exited;
  }
}
