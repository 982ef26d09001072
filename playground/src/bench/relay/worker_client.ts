/** Client of a worker process; it supports one pending command at a time. */
import type { RelayPeer } from "@sassafrascleat/membership";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import {
  CommandKind,
  type DaemonIdentity,
  type WorkerCommand,
  type WorkerReply,
  type WorkerSample,
} from "./messages.ts";

/** Starts a worker process and sends it commands. */
export class WorkerClient {
  readonly #child: ChildProcess;
  readonly #exited: Promise<unknown>;

  constructor() {
    this.#child = fork(new URL("./worker.js", import.meta.url));
    this.#exited = once(this.#child, "exit");
  }

  async listen(
    storeUrl: string,
    identities: DaemonIdentity[],
  ): Promise<RelayPeer[]> {
    const reply = await this.#call({
      kind: CommandKind.Listen,
      storeUrl,
      places: identities,
    });
    return reply.kind === CommandKind.Listen ? reply.peers : [];
  }

  async start(peers: RelayPeer[]): Promise<void> {
    await this.#call({ kind: CommandKind.Start, peers });
  }

  async sample(): Promise<WorkerSample> {
    const reply = await this.#call({ kind: CommandKind.Sample });
    if (reply.kind !== CommandKind.Sample) {
      throw new Error(
        "a worker of the relay bench did not reply with a sample",
      );
    }
    return reply.sample;
  }

  /** Stops the worker and waits until it has exited. */
  async stop(): Promise<void> {
    await this.#call({ kind: CommandKind.Stop });
    await this.#exited;
  }

  async #call(command: WorkerCommand): Promise<WorkerReply> {
    const replied = new Promise<WorkerReply | undefined>((resolve) => {
      this.#child.once("message", (reply) => resolve(reply as WorkerReply));
      this.#exited.then(() => resolve(undefined));
    });
    this.#child.send(command);
    const reply = await replied;
    if (!reply) {
      throw new Error("a worker of the relay bench exited before it replied");
    }
    return reply;
  }
}
