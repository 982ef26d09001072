import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  CallerConnections,
  ClosedForLimit,
  MAX_REQUEST_HEAD_BYTES,
} from "../caller_connections.ts";

/** Connections whose heads fit, however long they are, and a few more. */
const CONNECTIONS = 20;
/** A fifth of it takes 64 KB of heads that arrive. */
const HEAP_BYTES = 30 * MAX_REQUEST_HEAD_BYTES;

class FakeSocket extends EventEmitter {
  bytesRead = 0;
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

let closed: number[];
let connections: CallerConnections;
let sockets: FakeSocket[];

beforeEach(() => {
  jest.useFakeTimers();
  closed = [];
  connections = new CallerConnections({
    heapBytes: HEAP_BYTES,
    onHeadsClosed: (count) => closed.push(count),
  });
  sockets = Array.from({ length: CONNECTIONS }, () => new FakeSocket());
  for (const socket of sockets) connections.add(asSocket(socket));
});

afterEach(() => {
  jest.useRealTimers();
});

function asSocket(socket: FakeSocket): Socket {
  return socket as unknown as Socket;
}

/** Starts a request on a connection and returns what tracks it. */
function startRequest(socket: FakeSocket) {
  const req = Object.assign(new EventEmitter(), { socket });
  const res = new EventEmitter();
  const tracked = connections.track(
    req as unknown as IncomingMessage,
    res as unknown as ServerResponse,
  );
  return { req, res, tracked };
}

// Callers that took all descriptors kept the router from its servers.
test("beyond the limit the longest inactive connection is closed", () => {
  const limits: ClosedForLimit[] = [];
  const heapBytes = HEAP_BYTES;
  const onLimit = (closed: ClosedForLimit) => limits.push(closed);
  connections = new CallerConnections({
    heapBytes,
    maxConnections: 3,
    onHeadsClosed: () => {},
    onLimit,
  });
  const [read, unread, idle, next, last] = sockets as [
    FakeSocket,
    FakeSocket,
    FakeSocket,
    FakeSocket,
    FakeSocket,
  ];
  for (const socket of [read, unread, idle]) connections.add(asSocket(socket));
  startRequest(unread);
  startRequest(read).tracked.noteRead();
  connections.add(asSocket(next));
  expect([read, unread, idle].map((it) => it.destroyed))
    .toEqual([false, false, true]);
  connections.add(asSocket(last));
  expect([read, unread].map((it) => it.destroyed)).toEqual([false, true]);
  expect(limits).toEqual([ClosedForLimit.Inactive, ClosedForLimit.Inactive]);
  expect(connections.size).toBe(3);
});

test("a new connection is closed if all others have requests", () => {
  connections = new CallerConnections({
    heapBytes: HEAP_BYTES,
    maxConnections: 1,
    onHeadsClosed: () => {},
  });
  const [first, second, third] = sockets as [
    FakeSocket,
    FakeSocket,
    FakeSocket,
  ];
  connections.add(asSocket(first));
  const { res, tracked } = startRequest(first);
  tracked.noteRead();
  connections.add(asSocket(second));
  expect([first.destroyed, second.destroyed]).toEqual([false, true]);
  res.emit("close");
  connections.add(asSocket(third));
  expect([first.destroyed, third.destroyed]).toEqual([true, false]);
});

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
    connections.track(
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
  for (const socket of sockets) socket.bytesRead += MAX_REQUEST_HEAD_BYTES;
  jest.advanceTimersByTime(200);
  expect(closed).toEqual([CONNECTIONS - 1]);
});

test("all requests of a connection end when it closes", () => {
  const [socket] = sockets;
  const tracked = [1, 2].map((pipelined) => {
    const req = Object.assign(new EventEmitter(), { socket });
    const { signal, noteRead: _, ...rest } = connections.track(
      req as unknown as IncomingMessage,
      new EventEmitter() as unknown as ServerResponse,
    );
    expect(rest).toEqual({ pipelined });
    return signal;
  });
  expect(tracked.map((signal) => signal.aborted)).toEqual([false, false]);
  socket?.destroy();
  expect(tracked.map((signal) => signal.aborted)).toEqual([true, true]);
});
