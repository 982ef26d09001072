import { expect, test } from "@jest/globals";
import { MemoryBudget } from "../memory_budget.ts";

const MB = 1024 * 1024;

test("bodies leave memory for responses, and long ones for short ones", () => {
  const budget = new MemoryBudget(4 * MB);
  expect(budget.open().holdBody(2 * MB)).toBe(true);
  expect(budget.open().holdBody(MB)).toBe(false);
  expect(budget.open().holdBody(1_000)).toBe(true);
  expect(budget.open().holdResponse(MB)).toBe(true);
  expect(budget.open().holdResponse(MB)).toBe(false);
  expect(budget.open().holdResponse(1_000)).toBe(true);
});

test("what waits for a caller always fits, and keeps new bodies out", () => {
  const budget = new MemoryBudget(4 * MB);
  const output = budget.open();
  output.holdOutput(9 * MB);
  expect(budget.open().holdBody(1)).toBe(false);
  output.release();
  expect(budget.usedBytes).toBe(0);
  expect(budget.open().holdBody(MB)).toBe(true);
});

test("an account that can't grow keeps what it has, and shrinks", () => {
  const budget = new MemoryBudget(4 * MB);
  const account = budget.open();
  expect(account.holdBody(MB)).toBe(true);
  expect(account.holdBody(3 * MB)).toBe(false);
  expect(budget.usedBytes).toBe(MB);
  account.holdResponse(10);
  expect(budget.usedBytes).toBe(10);
});
