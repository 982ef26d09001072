/** Each mode of the proxy does to connections what its name says. */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { createFaultProxy, type FaultProxy, ProxyMode } from "../index.ts";

let echo: Server;
let proxy: FaultProxy;
const sockets: Socket[] = [];

beforeEach(async () => {
  echo = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((done) => echo.listen(0, "127.0.0.1", done));
  const { port } = echo.address() as { port: number };
  proxy = await createFaultProxy({ targetPort: port });
});
afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await proxy.close();
  await new Promise((done) => echo.close(done));
});

function dial(): Socket {
  const socket = createConnection(proxy.port, "127.0.0.1");
  socket.on("error", () => {});
  sockets.push(socket);
  return socket;
}

function next(socket: Socket, event: "data" | "close"): Promise<string> {
  return new Promise((resolve) =>
    socket.once(event, (value) => resolve(String(value)))
  );
}

async function echoed(socket: Socket, text: string): Promise<string> {
  const data = next(socket, "data");
  socket.write(text);
  return await data;
}

test("passes bytes, and holds them back while it stalls", async () => {
  const socket = dial();
  expect(await echoed(socket, "one")).toBe("one");
  proxy.setMode(ProxyMode.Stall);
  let arrived = false;
  const held = echoed(socket, "two").then((text) => {
    arrived = true;
    return text;
  });
  const other = dial();
  await new Promise((done) => other.once("connect", done));
  expect(arrived).toBe(false);
  proxy.setMode(ProxyMode.Pass);
  expect(await held).toBe("two");
  expect(proxy.counts).toMatchObject({ bytesToTarget: 6, bytesFromTarget: 6 });
});

test("delays bytes", async () => {
  proxy.setMode(ProxyMode.Delay, 5);
  expect(await echoed(dial(), "late")).toBe("late");
});

test("silenced connections swallow everything, new ones work", async () => {
  const old = dial();
  await echoed(old, "one");
  proxy.silence();
  old.write("lost");
  expect(await echoed(dial(), "two")).toBe("two");
  expect(proxy.counts.swallowed).toBe(4);
  expect(old.destroyed).toBe(false);
});

test("half-open connections lose the answers only", async () => {
  const socket = dial();
  await echoed(socket, "one");
  proxy.setMode(ProxyMode.HalfOpen);
  socket.write("two");
  const witness = dial();
  witness.write("x");
  while (proxy.counts.swallowed < 4) await new Promise(setImmediate);
  expect(proxy.counts).toMatchObject({ bytesToTarget: 7, bytesFromTarget: 3 });
});

test("resets and refuses connections", async () => {
  const socket = dial();
  await echoed(socket, "one");
  const closed = next(socket, "close");
  proxy.resetAll();
  await closed;
  for (const mode of [ProxyMode.Reset, ProxyMode.Refuse]) {
    proxy.setMode(mode);
    await next(dial(), "close");
  }
  expect(proxy.counts).toMatchObject({ refused: 2, connections: 1 });
});
