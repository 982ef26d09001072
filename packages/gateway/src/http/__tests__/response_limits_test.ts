/** Backend servers that send bytes without end, at each place of a response. */
import { afterEach, describe, expect, test } from "@jest/globals";
import type { Socket } from "node:net";
import { exchange, ExchangeOutcome } from "../exchange.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { MAX_HEAD_BYTES, MAX_RESPONSE_BYTES } from "../response_limits.ts";
import { Upstream } from "../upstream.ts";
import { CallFailure } from "../upstream_call.ts";
import { type RawServer, startRawServer } from "./raw_server.ts";

const TIMEOUT_MS = 20_000;
const OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

let server: RawServer;
let upstream = new Upstream({ log: () => {} });

afterEach(async () => {
  await upstream.close();
  await server.close();
  upstream = new Upstream({ log: () => {} });
});

/** Writes `start`, then `unit` repeatedly until the connection is closed. */
function flood(socket: Socket, start: string, unit: string): void {
  const block = Buffer.from(unit.repeat(Math.ceil(16_384 / unit.length)));
  socket.write(start);
  const writeMore = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on("drain", writeMore);
  writeMore();
}

function call(timeoutMs = TIMEOUT_MS) {
  return exchange(
    upstream,
    { backend: server.backend, method: "GET", path: "/", headers: [] },
    timeoutMs,
    new AbortController().signal,
  );
}

/** Most bytes a connection may carry: the limits, and what is in flight. */
const MAX_RECEIVED_BYTES = 4 * 1024 * 1024;

describe("bytes without end close the connection early", () => {
  test.each([
    ["interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"],
    ["a status line", "HTTP/1.1 200 ", "x"],
    ["blank lines before the status line", "", "\r\n"],
    ["a header line", "HTTP/1.1 200 OK\r\nA: ", "x"],
    ["header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"],
    ["a chunk extension", `${CHUNKED}1;`, "x"],
    ["a trailer", `${CHUNKED}2\r\nok\r\n0\r\n`, "A: b\r\n"],
    ["chunk sizes with leading zeros", CHUNKED, "0"],
  ])("in %s", async (_name, start, unit) => {
    let flooded: Socket | undefined;
    server = await startRawServer((socket, n) => {
      if (n > 1) return void socket.write(OK);
      flooded = socket;
      flood(socket, start, unit);
    });
    const startMs = performance.now();
    const result = await call();
    expect(result.end).toBe(ExchangeOutcome.Failed);
    expect(performance.now() - startMs).toBeLessThan(TIMEOUT_MS / 4);
    expect(flooded?.bytesWritten).toBeLessThan(MAX_RECEIVED_BYTES);
    expect(upstream.memory.usedBytes).toBe(0);
    const next = await call();
    expect(next).toMatchObject({ end: ExchangeOutcome.Answered, status: 200 });
    expect(server.connectionNumbers).toEqual([0, 1]);
  });

  test.each([
    ["with chunks", CHUNKED, `1000\r\n${"x".repeat(4096)}\r\n`],
    ["until the connection closes", "HTTP/1.1 200 OK\r\n\r\n", "x"],
  ])("in a body %s", async (_name, start, unit) => {
    server = await startRawServer((socket) => flood(socket, start, unit));
    const result = await call();
    expect(result).toMatchObject({
      end: ExchangeOutcome.Failed,
      failure: CallFailure.InvalidResponse,
      message: `response longer than ${MAX_RESPONSE_BYTES} bytes`,
    });
    expect(upstream.memory.usedBytes).toBe(0);
  });
});

test("the message names the limit", async () => {
  server = await startRawServer((socket) => flood(socket, "", "\r\n"));
  expect(await call()).toMatchObject({
    failure: CallFailure.InvalidResponse,
    message: `response head longer than ${MAX_HEAD_BYTES} bytes`,
  });
});

test("many long responses share one memory bound, small ones still pass", async () => {
  const maxBufferedBytes = 1024 * 1024;
  const memory = new MemoryBudget(maxBufferedBytes);
  upstream = new Upstream({ log: () => {}, memory });
  server = await startRawServer((socket, n) => {
    if (n > 6) return void socket.write(OK);
    flood(socket, "HTTP/1.1 200 OK\r\n\r\n", "x");
  });
  const results = await Promise.all(Array.from({ length: 6 }, () => call()));
  for (const result of results) {
    expect(result).toMatchObject({
      failure: CallFailure.InvalidResponse,
      message: "no memory left for the response",
    });
  }
  expect((await call()).end).toBe(ExchangeOutcome.Answered);
});

test("a body in chunks of one byte is no violation", async () => {
  const body = "x".repeat(100_000);
  const chunks = [...body].map((char) => `1\r\n${char}\r\n`).join("");
  server = await startRawServer((socket) =>
    socket.write(`${CHUNKED}${chunks}0\r\n\r\n`)
  );
  const result = await call();
  expect(result.end).toBe(ExchangeOutcome.Answered);
  if (result.end !== ExchangeOutcome.Answered) return;
  expect(result.body.toString()).toBe(body);
});

test("a connection that has carried many responses is not cut", async () => {
  server = await startRawServer((socket) => socket.write(OK));
  for (let i = 0; i < 3_000; i += 1) {
    const result = await call();
    expect(result.end).toBe(ExchangeOutcome.Answered);
  }
  // A second one may be opened while the first completes its response.
  expect(new Set(server.connectionNumbers).size).toBeLessThanOrEqual(2);
});

test("a long response that arrives at once is complete", async () => {
  const body = "x".repeat(1024 * 1024);
  server = await startRawServer((socket) =>
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    )
  );
  for (let i = 0; i < 100; i += 1) {
    const result = await call();
    expect(result).toMatchObject({ end: ExchangeOutcome.Answered });
  }
});
