/** Tests each mode of the fault proxy against an echo server. */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { createFaultProxy, type FaultProxy, ProxyMode } from "../index.ts";

let echoServer: Server;
let proxy: FaultProxy;
const sockets: Socket[] = [];

beforeEach(async () => {
  echoServer = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((done) => echoServer.listen(0, "127.0.0.1", done));
  const { port } = echoServer.address() as { port: number };
  proxy = await createFaultProxy({ targetPort: port });
});
afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await proxy.close();
  await new Promise((done) => echoServer.close(done));
});

function connect(): Socket {
  const socket = createConnection(proxy.port, "127.0.0.1");
  socket.on("error", () => {});
  sockets.push(socket);
  return socket;
}

function nextEvent(socket: Socket, event: "data" | "close"): Promise<string> {
  return new Promise((resolve) =>
    socket.once(event, (value) => resolve(String(value)))
  );
}

async function sendAndRead(socket: Socket, text: string): Promise<string> {
  const data = nextEvent(socket, "data");
  socket.write(text);
  return await data;
}

test("forwards bytes, and holds them back while stalled", async () => {
  const socket = connect();
  expect(await sendAndRead(socket, "one")).toBe("one");
  proxy.setMode(ProxyMode.Stall);
  let arrived = false;
  const pendingEcho = sendAndRead(socket, "two").then((text) => {
    arrived = true;
    return text;
  });
  const other = connect();
  await new Promise((done) => other.once("connect", done));
  expect(arrived).toBe(false);
  proxy.setMode(ProxyMode.Pass);
  expect(await pendingEcho).toBe("two");
  expect(proxy.counts).toMatchObject({ bytesToTarget: 6, bytesFromTarget: 6 });
});

test("delays bytes", async () => {
  proxy.setMode(ProxyMode.Delay, 5);
  expect(await sendAndRead(connect(), "late")).toBe("late");
});

test("blackholed connections discard all bytes, new ones work", async () => {
  const old = connect();
  await sendAndRead(old, "one");
  proxy.blackholeOpenConnections();
  old.write("lost");
  expect(await sendAndRead(connect(), "two")).toBe("two");
  expect(proxy.counts.bytesDiscarded).toBe(4);
  expect(old.destroyed).toBe(false);
});

test("half-open mode discards only bytes from the target", async () => {
  const socket = connect();
  await sendAndRead(socket, "one");
  proxy.setMode(ProxyMode.HalfOpen);
  socket.write("two");
  const otherSocket = connect();
  otherSocket.write("x");
  while (proxy.counts.bytesDiscarded < 4) await new Promise(setImmediate);
  expect(proxy.counts).toMatchObject({ bytesToTarget: 7, bytesFromTarget: 3 });
});

test("resets and refuses connections", async () => {
  const socket = connect();
  await sendAndRead(socket, "one");
  const closed = nextEvent(socket, "close");
  proxy.resetAll();
  await closed;
  for (const mode of [ProxyMode.Reset, ProxyMode.Refuse]) {
    proxy.setMode(mode);
    await nextEvent(connect(), "close");
  }
  expect(proxy.counts).toMatchObject({ refused: 2, connections: 1 });
});
