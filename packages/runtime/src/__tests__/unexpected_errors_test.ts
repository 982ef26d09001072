import { expect, test } from "@jest/globals";
import { EventEmitter } from "node:events";
import type { LogFields } from "../log.ts";
import { surviveUnexpectedErrors } from "../unexpected_errors.ts";

function start(maxErrors: number) {
  const emitter = new EventEmitter();
  const lines: LogFields[] = [];
  const state = { nowMs: 0, exits: 0 };
  surviveUnexpectedErrors({
    log: (_event, fields = {}) => lines.push(fields),
    exit: () => state.exits += 1,
    maxErrors,
    windowMs: 1_000,
    emitter,
    now: () => state.nowMs,
  });
  return { emitter, lines, state };
}

test("an unexpected error is logged with its place, and the process goes on", () => {
  const { emitter, lines, state } = start(3);
  emitter.emit("uncaughtException", new Error("no such field"));
  emitter.emit("unhandledRejection", "a string");
  expect(state.exits).toBe(0);
  expect(lines).toMatchObject([
    { kind: "exception", message: "no such field" },
    { kind: "rejection", message: "a string" },
  ]);
  expect(lines[0]?.stack).toContain("unexpected_errors_test");
});

test("errors that repeat quickly end the process, rare ones don't", () => {
  const { emitter, state } = start(3);
  for (let i = 0; i < 10; i += 1) {
    state.nowMs += 600;
    emitter.emit("uncaughtException", new Error("rare"));
  }
  expect(state.exits).toBe(0);
  state.nowMs += 2_000;
  for (let i = 0; i < 3; i += 1) {
    emitter.emit("uncaughtException", new Error("again"));
  }
  expect(state.exits).toBe(1);
});
