/**
 * Binds listeners of a process that must go on whatever holds their address: a
 * previous process may hold it for a while, or the address may not be assigned
 * to the host yet.
 */
import type { Server } from "node:net";
import type { Logger } from "./log.ts";
import { sleep } from "./wait.ts";

/** Where a server listens. */
export interface ListenOptions {
  host: string;
  port: number;
  /** What the listener is for, in logs. */
  name: string;
  log: Logger;
  /** Gives the attempts up. */
  signal?: AbortSignal;
}

/** Pause between two attempts to bind an address, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Makes a server listen; rejects if its address can't be bound. */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off("error", onError);
      resolve();
    };
    const onError = (err: Error) => {
      server.off("listening", onListening);
      reject(err);
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen(port, host);
  });
}

/** Makes a server listen as soon as its address can be bound. */
export async function listenWhenFree(
  server: Server,
  { host, port, name, log, signal }: ListenOptions,
): Promise<void> {
  let attempts = 0;
  while (!signal?.aborted) {
    attempts += 1;
    try {
      await listen(server, host, port);
      if (attempts > 1) log("listening", { listener: name, port, attempts });
      return;
    } catch (err) {
      if (attempts === 1) {
        const { message } = err as Error;
        log("address_not_bound", { listener: name, port, message });
      }
    }
    await sleep(RETRY_INTERVAL_MS, signal);
  }
}
