import { expect, test } from "@jest/globals";
import { EventSplitter } from "../event_splitter.ts";

const STREAM =
  "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:ping\n\nid: 3\ndata: ü\n\n";

test.each([1, 2, 3, 5, 8, 1_000])(
  "emits complete events from chunks of %d bytes",
  (size) => {
    const splitter = new EventSplitter();
    const bytes = Buffer.from(STREAM);
    let out = "";
    let count = 0;
    let lastId: string | undefined;
    for (let at = 0; at < bytes.length; at += size) {
      const batch = splitter.push(bytes.subarray(at, at + size));
      if (!batch) continue;
      expect(batch.bytes.toString()).toMatch(/\r?\n\r?\n$/);
      out += batch.bytes.toString();
      count += batch.count;
      lastId = batch.lastId ?? lastId;
    }
    expect(out).toBe(STREAM);
    // The comment is passed on, but is no event.
    expect(count).toBe(3);
    expect(lastId).toBe("3");
    expect(splitter.pendingBytes).toBe(0);
  },
);

test("keeps an incomplete event in the buffer", () => {
  const splitter = new EventSplitter();
  const batch = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  expect(batch?.bytes.toString()).toBe("id: 1\ndata: a\n\n");
  expect(splitter.pendingBytes).toBeGreaterThan(0);
});

test("comments and blank lines are passed on without counting", () => {
  const splitter = new EventSplitter();
  for (const text of [":ping\n\n", "\n\n", ":a\r\n:b\r\n\r\n"]) {
    const batch = splitter.push(Buffer.from(text));
    expect(batch?.count).toBe(0);
    expect(batch?.bytes.toString()).toBe(text);
  }
  const mixed = splitter.push(Buffer.from(":c\nid: 7\ndata: x\n\n"));
  expect(mixed).toMatchObject({ count: 1, lastId: "7" });
});

test("a long event in small chunks is buffered in linear time", () => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from("x".repeat(16));
  const startMs = performance.now();
  for (let i = 0; i < 64 * 1024; i += 1) splitter.push(chunk);
  expect(splitter.pendingBytes).toBe(1024 * 1024);
  const batch = splitter.push(Buffer.from("\n\nid: 2\n"));
  expect(batch?.bytes).toHaveLength(1024 * 1024 + 2);
  expect(splitter.pendingBytes).toBe("id: 2\n".length);
  // Copying all pending bytes for each chunk takes over 3 s.
  expect(performance.now() - startMs).toBeLessThan(1_000);
});

test("emitted bytes don't change when more bytes arrive", () => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.from("id: 1\nda"));
  const batch = splitter.push(Buffer.from("ta: a\n\nid: 2\nda"));
  splitter.push(Buffer.from("ta: bbbbbbbbbbbbbbbbbbb\n\n"));
  expect(batch?.bytes.toString()).toBe("id: 1\ndata: a\n\n");
});
