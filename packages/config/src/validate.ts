/** Checks an object against the schema of its kind and reports every error. */
import type { z } from "zod";
import { type Issue, toJsonPointer } from "./issue.ts";
import {
  customerSchema,
  type ObjectByKind,
  ObjectKind,
  policySchema,
  poolSchema,
  serviceSchema,
} from "./objects.ts";

/** Result of a schema check. */
export type Validation<T> =
  | { valid: true; object: T }
  | { valid: false; issues: Issue[] };

const SCHEMAS: { [K in ObjectKind]: z.ZodType<ObjectByKind[K]> } = {
  [ObjectKind.Service]: serviceSchema,
  [ObjectKind.Pool]: poolSchema,
  [ObjectKind.Policy]: policySchema,
  [ObjectKind.Customer]: customerSchema,
};

/** The value at `path`; undefined when there is none. */
function valueAt(raw: unknown, path: readonly PropertyKey[]): unknown {
  let value = raw;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = Object.hasOwn(value, part)
      ? (value as Record<PropertyKey, unknown>)[part]
      : undefined;
  }
  return value;
}

function issuesFromZod(raw: unknown, issue: z.core.$ZodIssue): Issue[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      path: toJsonPointer([...issue.path, key]),
      value: valueAt(raw, [...issue.path, key]),
      expected: "no such field",
    }));
  }
  return [{
    path: toJsonPointer(issue.path),
    value: valueAt(raw, issue.path),
    expected: issue.message,
  }];
}

/** Every error of a schema check of `raw`. */
export function toIssues(raw: unknown, error: z.ZodError): Issue[] {
  return error.issues.flatMap((issue) => issuesFromZod(raw, issue));
}

/**
 * Checks `raw` and applies the defaults. Needs no store, so that it also
 * serves for checks offline; references to other objects are not looked at.
 */
export function validateObject<K extends ObjectKind>(
  kind: K,
  raw: unknown,
): Validation<ObjectByKind[K]> {
  const result = SCHEMAS[kind].safeParse(raw);
  if (result.success) return { valid: true, object: result.data };
  return { valid: false, issues: toIssues(raw, result.error) };
}
