/** The bench's end of a worker process; orders are answered one at a time. */
import type { RelayPeer } from "@sassafrascleat/membership";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import {
  type DaemonPlace,
  OrderKind,
  type WorkerOrder,
  type WorkerReply,
  type WorkerSample,
} from "./messages.ts";

/** A worker process that was started by this bench. */
export class WorkerLink {
  readonly #child: ChildProcess;
  readonly #exited: Promise<unknown>;

  constructor() {
    this.#child = fork(new URL("./worker.js", import.meta.url));
    this.#exited = once(this.#child, "exit");
  }

  async listen(storeUrl: string, places: DaemonPlace[]): Promise<RelayPeer[]> {
    const reply = await this.#call({
      kind: OrderKind.Listen,
      storeUrl,
      places,
    });
    return reply.kind === OrderKind.Listen ? reply.peers : [];
  }

  async start(peers: RelayPeer[]): Promise<void> {
    await this.#call({ kind: OrderKind.Start, peers });
  }

  async sample(): Promise<WorkerSample> {
    const reply = await this.#call({ kind: OrderKind.Sample });
    if (reply.kind !== OrderKind.Sample) throw new Error("unexpected reply");
    return reply.sample;
  }

  /** Ends the worker and waits for its exit. */
  async stop(): Promise<void> {
    await this.#call({ kind: OrderKind.Stop });
    await this.#exited;
  }

  async #call(order: WorkerOrder): Promise<WorkerReply> {
    const replied = new Promise<WorkerReply | undefined>((resolve) => {
      this.#child.once("message", (reply) => resolve(reply as WorkerReply));
      this.#exited.then(() => resolve(undefined));
    });
    this.#child.send(order);
    const reply = await replied;
    if (!reply) throw new Error("a worker of the relay bench ended early");
    return reply;
  }
}
