/** Proposals shared by the tests. */
import { ChangeAction, type PatchOperation } from "../change.ts";
import type { ProposeRequest } from "../change_log_contract.ts";
import { operationsForCreate } from "../evaluate.ts";
import { ObjectKind } from "../objects.ts";

/** A signal that never aborts. */
export const neverAborts: AbortSignal = new AbortController().signal;

/** Returns a proposal to create a policy. */
export function createPolicy(
  patchId: string,
  name: string,
  fields: object = {},
): ProposeRequest {
  return {
    patchId,
    author: "ann",
    kind: ObjectKind.Policy,
    name,
    action: ChangeAction.Create,
    baseVersion: 0,
    operations: operationsForCreate({ name, ...fields }),
  };
}

/** Returns a proposal to create an object of any kind. */
export function createObject(
  patchId: string,
  kind: ObjectKind,
  object: { name: string },
): ProposeRequest {
  const operations = operationsForCreate(object);
  return { ...createPolicy(patchId, object.name), kind, operations };
}

/** Returns a proposal to patch an object. */
export function patchObject(
  patchId: string,
  kind: ObjectKind,
  name: string,
  baseVersion: number,
  operations: PatchOperation[],
): ProposeRequest {
  const action = ChangeAction.Patch;
  const author = "ann";
  return { patchId, author, kind, name, action, baseVersion, operations };
}

/** Returns a proposal to set `maxAttempts` of a policy. */
export function patchPolicy(
  patchId: string,
  name: string,
  baseVersion: number,
  maxAttempts: unknown,
): ProposeRequest {
  return patchObject(patchId, ObjectKind.Policy, name, baseVersion, [
    { op: "replace", path: "/maxAttempts", value: maxAttempts },
  ]);
}

/** Returns a proposal to delete an object. */
export function deleteObject(
  patchId: string,
  kind: ObjectKind,
  name: string,
  baseVersion: number,
): ProposeRequest {
  const action = ChangeAction.Delete;
  const author = "ann";
  return {
    patchId,
    author,
    kind,
    name,
    action,
    baseVersion,
    operations: [],
  };
}
