import { expect, jest, test } from "@jest/globals";
import { ByteCollector } from "../byte_collector.ts";

function collect(pieces: readonly Buffer[], declared?: number): ByteCollector {
  const collector = new ByteCollector(declared);
  for (const piece of pieces) collector.add(piece);
  return collector;
}

test.each([1, 1_000, 1_024, 1_025, 300_000])(
  "a message in pieces of %d bytes is whole",
  (pieceBytes) => {
    const message = Buffer.from(
      Array.from({ length: 600_000 }, (_item, i) => i % 251),
    );
    const pieces = [];
    for (let at = 0; at < message.length; at += pieceBytes) {
      pieces.push(message.subarray(at, at + pieceBytes));
    }
    for (const declared of [undefined, message.length]) {
      const collector = collect(pieces, declared);
      expect(collector.size).toBe(message.length);
      expect(collector.toBuffer().equals(message)).toBe(true);
    }
  },
);

test("what is held of many pieces is in proportion to the message", () => {
  const collector = collect(Array(500_000).fill(Buffer.from("x")));
  expect(collector.heldBytes).toBeLessThan(4 * collector.size);
});

test("bytes beyond a declared length are left out, but counted", () => {
  const collector = collect([Buffer.from("abc"), Buffer.from("def")], 4);
  expect(collector.toBuffer().toString()).toBe("abcd");
  expect(collector.size).toBe(6);
});

test("an empty message is empty", () => {
  expect(collect([]).toBuffer()).toHaveLength(0);
  expect(collect([], 0).toBuffer()).toHaveLength(0);
});

// A response whose blocks were used again would have got the bytes of another one.
test("MIXED: a message stays as it is when its blocks are used again", () => {
  const first = collect([Buffer.alloc(200_000, "a")]);
  const message = first.toBuffer();
  first.clear();
  const second = collect([Buffer.alloc(300_000, "b")]);
  expect(message.equals(Buffer.alloc(200_000, "a"))).toBe(true);
  expect(second.toBuffer().equals(Buffer.alloc(300_000, "b"))).toBe(true);
});

test("blocks of a message that is forgotten are used again", () => {
  const allocated = jest.spyOn(Buffer, "allocUnsafeSlow");
  for (let i = 0; i < 10; i += 1) {
    const collector = collect([Buffer.alloc(1_000_000, "x")]);
    collector.clear();
  }
  const blocks = allocated.mock.calls.filter(([bytes]) => bytes === 65_536);
  allocated.mockRestore();
  expect(blocks.length).toBeLessThan(20);
});
