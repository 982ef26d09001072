/** Starts engines as processes and keeps their entries in the store. */
import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { serverSpec } from "./config.mjs";

const PROGRAM = fileURLToPath(new URL("engine_process.mjs", import.meta.url));
/** An entry goes after three heartbeats of 1,200 ms that are missing. */
const ENTRY_LIFETIME_MS = 3_600;

/** One engine process. */
export class Engine {
  #child;
  #store;
  messages = [];
  listeners = [];

  constructor(store, options) {
    this.#store = store;
    this.options = options;
    this.id = options.id;
    this.stage = options.stage;
  }

  async start() {
    this.#child = fork(PROGRAM, [JSON.stringify(this.options)]);
    const [ready] = await once(this.#child, "message");
    this.address = ready.address;
    this.bornMs = Date.now();
    this.#child.on("message", (message) => {
      this.messages.push(message);
      for (const listener of this.listeners) listener(message);
    });
    this.list();
  }

  list(changes = {}) {
    this.#store.put("servers", this.id, serverSpec(this, changes));
  }

  /** Spoils the next plain answer. */
  garble() {
    this.#child.send("garble");
  }

  /** Falls silent, and goes on. */
  standStill(forMs) {
    this.#child.kill("SIGSTOP");
    setTimeout(() => this.#child.kill("SIGCONT"), forMs);
  }

  /** Crashes; its entry lapses. */
  crash() {
    this.#child.kill("SIGKILL");
    setTimeout(
      () => this.#store.remove("servers", this.id),
      ENTRY_LIFETIME_MS,
    ).unref();
  }

  async close() {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
      return;
    }
    this.#child.kill("SIGKILL");
    await once(this.#child, "exit");
  }
}
