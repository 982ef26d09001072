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
    expect(count).toBe(4);
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
