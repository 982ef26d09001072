/**
 * Binds listeners of a process that must go on whatever holds their address: a
 * previous process may hold it for a while, or the address may not be assigned
 * to the host yet.
 */
import type { Server } from "node:net";
import { systemClock } from "./clock.ts";
import type { Logger } from "./log.ts";
import { retryUntilDone } from "./retry.ts";

/** Host and port of a listener. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Where a server listens. */
export interface ListenOptions {
  /** The wanted address. Asked at each attempt, as it may be corrected. */
  address: () => ListenAddress;
  /** What the listener is for, in logs. */
  name: string;
  log: Logger;
  /** Gives the attempts up. */
  signal?: AbortSignal;
  /**
   * Ports to take if another process keeps the wanted one, in this order.
   * @default none
   */
  otherPorts?: readonly number[];
  /** Time before one of them is taken, in milliseconds. @default 5000 */
  otherPortsAfterMs?: number;
}

/** A process that ends has released its address after this time, in ms. */
const OTHER_PORTS_AFTER_MS = 5_000;

/** Makes a server listen; rejects if its address can't be bound. */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const removeListeners = () => {
      server.off("error", onError);
      server.off("listening", onListening);
    };
    const onListening = () => {
      removeListeners();
      resolve();
    };
    const onError = (err: unknown) => {
      removeListeners();
      reject(err);
    };
    server.once("error", onError);
    server.once("listening", onListening);
    try {
      server.listen(port, host);
    } catch (err) {
      // The port is out of range.
      onError(err);
    }
  });
}

/** Makes a server listen as soon as its address can be bound. */
export async function listenWhenFree(
  server: Server,
  { address, name, log, signal, ...rest }: ListenOptions,
): Promise<void> {
  const { otherPorts = [], otherPortsAfterMs = OTHER_PORTS_AFTER_MS } = rest;
  const startMs = systemClock.now();
  const result = await retryUntilDone(async () => {
    const waitedMs = systemClock.now() - startMs;
    const isLate = waitedMs >= otherPortsAfterMs;
    const { host, port } = address();
    return await listenAtOne(server, host, [
      port,
      ...(isLate ? otherPorts : []),
    ]);
  }, {
    signal,
    onFailure: ({ message, attempts, waitedMs }) =>
      log("address_not_bound", {
        listener: name,
        port: address().port,
        message,
        attempts,
        waited_ms: waitedMs,
      }),
  });
  if (!result || result.attempts === 1) return;
  const { value, attempts } = result;
  const { port: wanted } = address();
  log("listening", { listener: name, port: value, wanted, attempts });
}

/** Binds the first port that is free; throws the error of the first if none is. */
async function listenAtOne(
  server: Server,
  host: string,
  ports: readonly number[],
): Promise<number> {
  let firstError: unknown;
  for (const port of ports) {
    try {
      await listen(server, host, port);
      return port;
    } catch (err) {
      firstError ??= err;
    }
  }
  throw firstError;
}
