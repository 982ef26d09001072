import { expect, test } from "@jest/globals";
import { EventEmitter } from "node:events";
import type { LogFields } from "../log.ts";
import { surviveUnexpectedErrors } from "../unexpected_errors.ts";

function start() {
  const emitter = new EventEmitter();
  const lines: LogFields[] = [];
  const state = { errors: 0 };
  surviveUnexpectedErrors({
    log: (_event, fields = {}) => lines.push(fields),
    onError: () => state.errors += 1,
    emitter,
  });
  return { emitter, lines, state };
}

test("an unexpected error is logged with its place, and the process goes on", () => {
  const { emitter, lines, state } = start();
  emitter.emit("uncaughtException", new Error("no such field"));
  emitter.emit("unhandledRejection", "a string");
  expect(state.errors).toBe(2);
  expect(lines).toMatchObject([
    { kind: "exception", message: "no such field" },
    { kind: "rejection", message: "a string" },
  ]);
  expect(lines[0]?.stack).toContain("unexpected_errors_test");
});

// Fifty errors within ten seconds ended the process: a peer could end it.
test("FAULT: errors that repeat quickly don't end the process", () => {
  const { emitter, state } = start();
  const exit = process.exit;
  let exits = 0;
  process.exit = (() => exits += 1) as unknown as typeof process.exit;
  try {
    for (let i = 0; i < 200; i += 1) {
      emitter.emit("uncaughtException", new Error("again"));
    }
  } finally {
    process.exit = exit;
  }
  expect([exits, state.errors]).toEqual([0, 200]);
});
