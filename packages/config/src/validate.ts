/**
 * Validates an object against the schema of its kind and reports all errors.
 */
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

/** Result of a schema validation. */
export type Validation<T> =
  | { valid: true; object: T }
  | { valid: false; issues: Issue[] };

const SCHEMAS: { [K in ObjectKind]: z.ZodType<ObjectByKind[K]> } = {
  [ObjectKind.Service]: serviceSchema,
  [ObjectKind.Pool]: poolSchema,
  [ObjectKind.Policy]: policySchema,
  [ObjectKind.Customer]: customerSchema,
};

/** Returns the value at `path`, or undefined if there is none. */
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
      expected: "this field to be absent",
    }));
  }
  return [{
    path: toJsonPointer(issue.path),
    value: valueAt(raw, issue.path),
    expected: issue.message,
  }];
}

/** Converts the errors of a schema validation of `raw` to issues. */
export function issuesFromZodError(raw: unknown, error: z.ZodError): Issue[] {
  return error.issues.flatMap((issue) => issuesFromZod(raw, issue));
}

/**
 * Validates `raw` and applies the defaults. Works offline, since it needs no
 * store; references to other objects are not checked.
 */
export function validateObject<K extends ObjectKind>(
  kind: K,
  raw: unknown,
): Validation<ObjectByKind[K]> {
  const result = SCHEMAS[kind].safeParse(raw);
  if (result.success) return { valid: true, object: result.data };
  return { valid: false, issues: issuesFromZodError(raw, result.error) };
}
