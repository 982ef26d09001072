/** Starts the measured process and calls its sidecar as an entry does. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import {
  SIDECAR_RPC_PATH,
  type SidecarRouter,
  type StartRequest,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, request } from "undici";
import type { StartedMessage, StartMessage, UsageMessage } from "./messages.ts";

const PROCESS_MAIN = fileURLToPath(
  new URL("./sidecar_process.js", import.meta.url),
);
const SECRET = "bench-secret";

/** A sidecar in a separate process. */
export class MeasuredSidecar {
  readonly incarnation: string;
  readonly control;
  readonly #child: ChildProcess;
  readonly #address: string;
  readonly #agent = new Agent();

  constructor(child: ChildProcess, started: StartedMessage) {
    this.#child = child;
    this.#address = started.address;
    this.incarnation = started.incarnation;
    const link = httpLink<SidecarRouter>({
      url: started.address + SIDECAR_RPC_PATH,
      headers: { [SYSTEM_SECRET_HEADER]: SECRET },
    });
    this.control = createTRPCClient<SidecarRouter>({ links: [link] });
  }

  /** Returns the CPU time and memory that the process has used so far. */
  async usage(): Promise<UsageMessage> {
    this.#child.send("usage");
    const [message] = await once(this.#child, "message");
    return message as UsageMessage;
  }

  /** Reads one stream to its end, or until `signal` aborts. */
  async stream(req: StartRequest, signal?: AbortSignal): Promise<void> {
    try {
      const res = await request(this.#address + STREAM_START_PATH, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          [SYSTEM_SECRET_HEADER]: SECRET,
        },
        body: JSON.stringify(req),
        dispatcher: this.#agent,
        signal,
      });
      await res.body.dump({ limit: Infinity });
    } catch (err) {
      if (!signal?.aborted) throw err;
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
    this.#child.kill();
    await once(this.#child, "exit");
  }
}

/** Starts a sidecar for the engine at `engineAddress`. */
export async function startMeasuredSidecar(
  engineAddress: string,
): Promise<MeasuredSidecar> {
  const child = fork(PROCESS_MAIN);
  const message: StartMessage = { engineAddress, secret: SECRET };
  child.send(message);
  const [started] = await once(child, "message");
  return new MeasuredSidecar(child, started as StartedMessage);
}
