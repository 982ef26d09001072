/**
 * Evaluates a change as a pure function of the state before it. Proposers use
 * the result to accept or reject a change, replicas use it for replay.
 */
import jsonPatch from "fast-json-patch";
import { type Change, ChangeAction, type PatchOperation } from "./change.ts";
import type { AnyObject, ConfigState } from "./config_state.ts";
import { MAX_OBJECT_BYTES } from "./constants.ts";
import type { Issue } from "./issue.ts";
import { checkNotReferenced, checkReferences } from "./references.ts";
import { validateObject } from "./validate.ts";

/** The part of a change that an operator specifies. */
export type Proposal = Pick<
  Change,
  | "patchId"
  | "author"
  | "kind"
  | "name"
  | "action"
  | "baseVersion"
  | "operations"
>;

/** Kinds of evaluation results. */
export enum EvaluationKind {
  /** The change can be applied; `object` is undefined for a deletion. */
  Valid = "fits",
  /** The change is not based on the current version. */
  Outdated = "outdated",
  /** The change violates a schema or a reference. */
  Invalid = "invalid",
}

export type Evaluation =
  | {
    kind: EvaluationKind.Valid;
    version: number;
    object: AnyObject | undefined;
  }
  | { kind: EvaluationKind.Outdated; currentVersion: number }
  | { kind: EvaluationKind.Invalid; issues: Issue[] };

/** The parts of a change that determine its result. */
export type ChangeContent = Pick<
  Change,
  "kind" | "name" | "action" | "baseVersion" | "operations"
>;

/** Result of applying patch operations. */
type PatchResult =
  | { applied: true; document: unknown }
  | { applied: false; issue: Issue };

/**
 * Returns why an operation can't be applied, from the patch library's error
 * name.
 */
function patchErrorReason(err: unknown): string {
  const { name } = err as { name?: string };
  return (name ?? "INVALID_PATCH").toLowerCase().replaceAll("_", " ");
}

function patchIssue(
  operations: readonly PatchOperation[],
  index: number,
  reason: string,
): Issue {
  return {
    path: `/operations/${index}`,
    value: operations[index],
    expected: `an operation that applies to the current object (${reason})`,
  };
}

/**
 * Applies JSON Patch operations to a copy of `document`. The size is checked
 * after each operation, because repeatedly copying a list into itself grows it
 * exponentially and would exhaust memory.
 */
export function applyOperations(
  document: unknown,
  operations: readonly PatchOperation[],
): PatchResult {
  let patched = structuredClone(document);
  for (const [index, raw] of operations.entries()) {
    try {
      const operation = structuredClone(raw) as jsonPatch.Operation;
      const result = jsonPatch.applyOperation(patched, operation, true);
      patched = result.newDocument;
    } catch (err) {
      const issue = patchIssue(operations, index, patchErrorReason(err));
      return { applied: false, issue };
    }
    if (jsonBytes(patched) > MAX_OBJECT_BYTES) {
      const reason = `the object would exceed ${MAX_OBJECT_BYTES} bytes`;
      return { applied: false, issue: patchIssue(operations, index, reason) };
    }
  }
  return { applied: true, document: patched };
}

function jsonBytes(document: unknown): number {
  return Buffer.byteLength(JSON.stringify(document) ?? "");
}

/** Returns whether a change is based on the current version of its object. */
function versionMatches(state: ConfigState, proposed: ChangeContent): boolean {
  const current = state.get(proposed.kind, proposed.name);
  if (proposed.action === ChangeAction.Create) {
    return !current && proposed.baseVersion === 0;
  }
  return current !== undefined && proposed.baseVersion === current.version;
}

function invalidResult(...issues: Issue[]): Evaluation {
  return { kind: EvaluationKind.Invalid, issues };
}

function evaluateObject(
  state: ConfigState,
  proposed: ChangeContent,
  shouldCheckReferences: boolean,
): Evaluation {
  const { kind, name, operations } = proposed;
  const before = state.get(kind, name)?.object ?? null;
  const patched = applyOperations(before, operations);
  if (!patched.applied) return invalidResult(patched.issue);
  const checked = validateObject(kind, patched.document);
  if (!checked.valid) return invalidResult(...checked.issues);
  const object: AnyObject = checked.object;
  if (object.name !== name) {
    return invalidResult({ path: "/name", value: object.name, expected: name });
  }
  const issues = shouldCheckReferences
    ? checkReferences(state, kind, object)
    : [];
  if (issues.length > 0) return invalidResult(...issues);
  const version = state.lastVersion(kind, name) + 1;
  return { kind: EvaluationKind.Valid, version, object };
}

/**
 * Evaluates a change against `state`. Replay skips the reference checks: they
 * passed when the change was accepted, and a newer release may check more.
 */
export function evaluate(
  state: ConfigState,
  proposed: ChangeContent,
  shouldCheckReferences: boolean,
): Evaluation {
  const { kind, name, action } = proposed;
  const lastVersion = state.lastVersion(kind, name);
  if (!versionMatches(state, proposed)) {
    const currentVersion = state.get(kind, name)?.version ?? 0;
    return { kind: EvaluationKind.Outdated, currentVersion };
  }
  if (action !== ChangeAction.Delete) {
    return evaluateObject(state, proposed, shouldCheckReferences);
  }
  const issues = shouldCheckReferences
    ? checkNotReferenced(state, kind, name)
    : [];
  if (issues.length > 0) return invalidResult(...issues);
  const version = lastVersion + 1;
  return { kind: EvaluationKind.Valid, version, object: undefined };
}

/** Returns the operations that create `raw` as a new object. */
export function operationsForCreate(raw: unknown): PatchOperation[] {
  return [{ op: "add", path: "", value: raw }];
}
