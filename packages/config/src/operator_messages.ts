/** Messages of the operators' HTTP API, shared by daemons and the tool. */
import { z } from "zod";
import { type Change, ChangeAction, patchOperationSchema } from "./change.ts";
import type { ProposeOutcome } from "./change_log_contract.ts";
import { createOperations, type Proposal } from "./evaluate.ts";
import type { Issue } from "./issue.ts";
import { type ObjectByKind, ObjectKind, type Versioned } from "./objects.ts";

const createDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Create),
  /** The new object; it carries its own name. */
  object: z.looseObject({ name: z.string().min(1) }),
});

const patchDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Patch),
  name: z.string().min(1),
  /** The version that the patch was built on. */
  baseVersion: z.number().int().min(1),
  operations: z.array(patchOperationSchema).min(1),
});

const deleteDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Delete),
  name: z.string().min(1),
  /** The version that is to be deleted. */
  baseVersion: z.number().int().min(1),
});

/** A change as operators write it. */
export const changeDocumentSchema = z.discriminatedUnion("action", [
  createDocumentSchema,
  patchDocumentSchema,
  deleteDocumentSchema,
]);
export type ChangeDocument = z.infer<typeof changeDocumentSchema>;

/** Body of `POST /v1/apply`. */
export const applyRequestSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  change: changeDocumentSchema,
  /** The same patch id was sent before, with an unknown outcome. @default false */
  repeated: z.boolean().default(false),
});
export type ApplyRequest = z.infer<typeof applyRequestSchema>;

/** Body of `POST /v1/validate`. */
export const validateRequestSchema = z.strictObject({
  change: changeDocumentSchema,
});

/** Answer to `POST /v1/validate`. */
export interface ValidateReply {
  valid: boolean;
  /** The sequence in force that the change was checked against. */
  sequence: number;
  issues: Issue[];
  /** Set when the change was built on another version; 0 if there is none. */
  currentVersion?: number;
}

/** Query of `GET /v1/history`. */
export const historyQuerySchema = z.strictObject({
  kind: z.enum(ObjectKind).optional(),
  name: z.string().optional(),
  since: z.iso.datetime({ offset: true }).optional(),
  until: z.iso.datetime({ offset: true }).optional(),
  before: z.coerce.number().int().min(1).optional(),
  limit: z.coerce.number().int().min(1).max(1_000).optional(),
});

/** Body of `POST /v1/drain`. */
export const drainBodySchema = z.strictObject({
  /** Name of the backend server. */
  name: z.string().min(1),
  /** True to leave, false to take a notice back. */
  leaving: z.boolean(),
});

/** Answer to `POST /v1/apply`; the HTTP status tells the kind as well. */
export type ApplyReply = ProposeOutcome;

/** Answer to `GET /v1/objects/:kind`. */
export interface ObjectListReply {
  /** The sequence in force at the daemon that answers. */
  sequence: number;
  objects: Versioned<ObjectByKind[ObjectKind]>[];
}

/** Answer to `GET /v1/objects/:kind/:name`. */
export interface ObjectReply extends Versioned<ObjectByKind[ObjectKind]> {
  sequence: number;
}

/** Answer to `GET /v1/history`, newest first. */
export interface HistoryReply {
  changes: Change[];
}

/** Codes of errors that are no outcome of a proposal. */
export enum OperatorErrorCode {
  BadRequest = "bad_request",
  NotAuthorized = "not_authorized",
  NotFound = "not_found",
  Unavailable = "unavailable",
  Internal = "internal",
}

/** Body of every error answer. */
export interface OperatorError {
  error: OperatorErrorCode;
  message: string;
  issues?: Issue[];
}

/** The proposal that a change document stands for. */
export function toProposal(
  change: ChangeDocument,
  patchId: string,
  author: string,
): Proposal {
  const { kind, action } = change;
  const common = { patchId, author, kind, action };
  if (change.action === ChangeAction.Create) {
    const { object } = change;
    const operations = createOperations(object);
    return { ...common, name: object.name, baseVersion: 0, operations };
  }
  const { name, baseVersion } = change;
  const operations = change.action === ChangeAction.Patch
    ? change.operations
    : [];
  return { ...common, name, baseVersion, operations };
}
