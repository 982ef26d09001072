/** Messages of the operator HTTP API, shared by daemons and the CLI. */
import { z } from "zod";
import { type Change, ChangeAction, patchOperationSchema } from "./change.ts";
import type { ProposeOutcome } from "./change_log_contract.ts";
import { operationsForCreate, type Proposal } from "./evaluate.ts";
import type { Issue } from "./issue.ts";
import { type ObjectByKind, ObjectKind, type Versioned } from "./objects.ts";

const createDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Create),
  /** The new object, including its name. */
  object: z.looseObject({ name: z.string().min(1) }),
});

const patchDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Patch),
  name: z.string().min(1),
  /** The object version that the patch is based on. */
  baseVersion: z.number().int().min(1),
  operations: z.array(patchOperationSchema).min(1),
});

const deleteDocumentSchema = z.strictObject({
  kind: z.enum(ObjectKind),
  action: z.literal(ChangeAction.Delete),
  name: z.string().min(1),
  /** The object version to delete. */
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
  /**
   * Whether the patch id was sent before with an unknown outcome.
   * @default false
   */
  repeated: z.boolean().default(false),
});
export type ApplyRequest = z.infer<typeof applyRequestSchema>;

/** Body of `POST /v1/validate`. */
export const validateRequestSchema = z.strictObject({
  change: changeDocumentSchema,
});

/** Response to `POST /v1/validate`. */
export interface ValidateReply {
  valid: boolean;
  /** Sequence of the configuration that the change was validated against. */
  sequence: number;
  issues: Issue[];
  /**
   * Current version if the change is outdated; 0 if the object does not exist.
   */
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
  /** True to drain the backend server, false to cancel the drain. */
  leaving: z.boolean(),
});

/** Response to `POST /v1/apply`; the HTTP status also reflects the kind. */
export type ApplyReply = ProposeOutcome;

/** Response to `GET /v1/objects/:kind`. */
export interface ObjectListReply {
  /** Configuration sequence of the daemon that sent the response. */
  sequence: number;
  objects: Versioned<ObjectByKind[ObjectKind]>[];
}

/** Response to `GET /v1/objects/:kind/:name`. */
export interface ObjectReply extends Versioned<ObjectByKind[ObjectKind]> {
  sequence: number;
}

/** Response to `GET /v1/history`, newest first. */
export interface HistoryReply {
  changes: Change[];
}

/** Codes of errors other than proposal outcomes. */
export enum OperatorErrorCode {
  BadRequest = "bad_request",
  NotAuthorized = "not_authorized",
  NotFound = "not_found",
  Unavailable = "unavailable",
  Internal = "internal",
}

/** Body of every error response. */
export interface OperatorError {
  error: OperatorErrorCode;
  message: string;
  issues?: Issue[];
}

/** Converts a change document to a proposal. */
export function toProposal(
  change: ChangeDocument,
  patchId: string,
  author: string,
): Proposal {
  const { kind, action } = change;
  const common = { patchId, author, kind, action };
  if (change.action === ChangeAction.Create) {
    const { object } = change;
    const operations = operationsForCreate(object);
    return { ...common, name: object.name, baseVersion: 0, operations };
  }
  const { name, baseVersion } = change;
  const operations = change.action === ChangeAction.Patch
    ? change.operations
    : [];
  return { ...common, name, baseVersion, operations };
}
