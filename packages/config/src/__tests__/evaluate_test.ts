/** Patches that can't be applied, and malicious patches. */
import { describe, expect, test } from "@jest/globals";
import type { PatchOperation } from "../change.ts";
import { applyOperations } from "../evaluate.ts";

const POOL = { name: "whistle", adapters: ["a"] };

function issueOf(operations: PatchOperation[]) {
  const patched = applyOperations(POOL, operations);
  return patched.applied ? undefined : patched.issue;
}

describe("applyOperations", () => {
  test("applies operations in order to a copy", () => {
    const patched = applyOperations(POOL, [
      { op: "test", path: "/adapters/0", value: "a" },
      { op: "add", path: "/adapters/-", value: "b" },
      { op: "remove", path: "/adapters/0" },
    ]);
    expect(patched).toEqual({
      applied: true,
      document: { name: "whistle", adapters: ["b"] },
    });
    expect(POOL.adapters).toEqual(["a"]);
  });

  test("reports which operation can't be applied and why", () => {
    const issue = issueOf([
      { op: "replace", path: "/name", value: "x" },
      { op: "remove", path: "/none" },
    ]);
    expect(issue).toMatchObject({
      path: "/operations/1",
      value: { op: "remove", path: "/none" },
    });
    expect(issue?.expected).toContain("operation path unresolvable");
    const test = issueOf([{ op: "test", path: "/name", value: "other" }]);
    expect(test?.expected).toContain("test operation failed");
  });

  test("does not modify prototypes", () => {
    const path = "/__proto__/polluted";
    expect(issueOf([{ op: "add", path, value: 1 }])?.path)
      .toBe("/operations/0");
    expect(({} as { polluted?: number }).polluted).toBeUndefined();
  });

  test("rejects a patch that keeps doubling a list", () => {
    const doubling: PatchOperation[] = Array.from({ length: 60 }, () => ({
      op: "copy",
      from: "/adapters",
      path: "/adapters/-",
    }));
    expect(issueOf(doubling)?.expected).toContain("bytes");
  });
});
