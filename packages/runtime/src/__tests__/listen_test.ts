import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { type ListenOptions, listenWhenFree } from "../listen.ts";
import type { LogFields } from "../log.ts";
import { sleep } from "../wait.ts";

const HELD_MS = 400;

let holder: Server;
let server: Server;
let lines: LogFields[];
let options: ListenOptions;
let port: number;

beforeEach(async () => {
  holder = createServer().listen(0, "127.0.0.1");
  server = createServer();
  await once(holder, "listening");
  lines = [];
  port = portOf(holder);
  options = {
    address: () => ({ host: "127.0.0.1", port }),
    name: "metrics",
    log: (event, fields) => lines.push({ event, ...fields }),
  };
});

afterEach(() => {
  holder.close();
  server.close();
});

function portOf(listener: Server): number {
  return (listener.address() as AddressInfo).port;
}

test("an address is bound once it is free, and few lines tell of it", async () => {
  const listening = listenWhenFree(server, options);
  await sleep(HELD_MS);
  holder.close();
  await listening;
  expect(portOf(server)).toBe(port);
  expect(lines.map((it) => it["event"])).toEqual([
    "address_not_bound",
    "listening",
  ]);
});

// All routers of a host but one tried for ever and had no metrics.
test("another port is taken if an address stays held", async () => {
  const free = createServer().listen(0, "127.0.0.1");
  await once(free, "listening");
  const otherPorts = [port, portOf(free)];
  free.close();
  await once(free, "close");
  const startMs = performance.now();
  const otherPortsAfterMs = HELD_MS;
  await listenWhenFree(server, { ...options, otherPorts, otherPortsAfterMs });
  expect(performance.now() - startMs).toBeGreaterThan(HELD_MS);
  expect(portOf(server)).toBe(otherPorts[1]);
});

test("attempts at a port out of range leave no listeners", async () => {
  const signal = AbortSignal.timeout(HELD_MS);
  port = 99_999;
  await listenWhenFree(server, { ...options, signal });
  expect(server.listenerCount("error")).toBe(0);
});
