import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { HeadMemory, MAX_HEAD_BYTES } from "../head_memory.ts";

/** Connections whose heads fit, however long they are, and a few more. */
const CONNECTIONS = 20;
const MAX_BYTES = 6 * MAX_HEAD_BYTES;

class FakeSocket extends EventEmitter {
  bytesRead = 0;
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

let closed: number[];
let memory: HeadMemory;
let sockets: FakeSocket[];

beforeEach(() => {
  jest.useFakeTimers();
  closed = [];
  memory = new HeadMemory({
    maxBytes: MAX_BYTES,
    onClosed: (connections) => closed.push(connections),
  });
  sockets = Array.from({ length: CONNECTIONS }, () => new FakeSocket());
  for (const socket of sockets) memory.addConnection(asSocket(socket));
});

afterEach(() => {
  jest.useRealTimers();
});

function asSocket(socket: FakeSocket): Socket {
  return socket as unknown as Socket;
}

test("the longest of the heads that arrive are closed until the others fit", () => {
  sockets.forEach((socket, i) => socket.bytesRead = 1_000 * i);
  jest.advanceTimersByTime(200);
  // 190 KB have arrived, and 64 KB fit.
  const destroyed = sockets.map((socket) => socket.destroyed);
  expect(destroyed.indexOf(true)).toBe(11);
  expect(destroyed.slice(11)).not.toContain(false);
  expect(closed).toEqual([9]);
});

test("bodies, and heads of earlier requests, are not heads that arrive", () => {
  const requests = sockets.map((socket) => {
    const req = Object.assign(new EventEmitter(), { socket });
    const res = new EventEmitter();
    memory.startRequest(
      req as unknown as IncomingMessage,
      res as unknown as ServerResponse,
    );
    return { req, res, socket };
  });
  for (const { res, socket } of requests) {
    socket.bytesRead = 1_000_000;
    res.emit("close");
  }
  jest.advanceTimersByTime(200);
  // The rest of a body is read after the response.
  for (const { req, socket } of requests) {
    socket.bytesRead = 2_000_000;
    req.emit("close");
  }
  jest.advanceTimersByTime(200);
  expect(closed).toEqual([]);
  for (const socket of sockets) socket.bytesRead += MAX_HEAD_BYTES;
  jest.advanceTimersByTime(200);
  expect(closed).toEqual([CONNECTIONS - 1]);
});

test("heads that have arrived count until their response", () => {
  const headers = ["a", "b".repeat(MAX_HEAD_BYTES)];
  const held = Array.from({ length: 10 }, () => memory.hold(headers));
  expect(held.filter(Boolean)).toHaveLength(5);
  memory.release(headers);
  expect(memory.hold(headers)).toBe(true);
  for (let i = 0; i < 5; i += 1) memory.release(headers);
  expect(memory.usedBytes).toBe(0);
});
