/**
 * Configuration changes as stored in the change log and as exchanged between
 * daemons. The log is the audit trail: it holds each accepted change exactly
 * once.
 */
import { z } from "zod";
import { ObjectKind } from "./objects.ts";

/** One JSON Patch operation (RFC 6902). */
export const patchOperationSchema = z.object({
  op: z.enum(["add", "remove", "replace", "move", "copy", "test"]),
  path: z.string(),
  from: z.string().optional(),
  value: z.unknown().optional(),
});
export type PatchOperation = z.infer<typeof patchOperationSchema>;

/** The kind of modification that a change makes to its object. */
export enum ChangeAction {
  Create = "create",
  Patch = "patch",
  Delete = "delete",
}

export const changeSchema = z.object({
  /** Position in the total order; starts at 1, without gaps. */
  sequence: z.number().int().min(1),
  /** Idempotency key chosen by the operator's tool; a retry reuses it. */
  patchId: z.string().min(1).max(128),
  /** Name of the operator secret that authenticated the request. */
  author: z.string().min(1),
  office: z.string().min(1),
  /** Acceptance time by the proposing daemon's wall clock, ISO 8601. */
  time: z.string(),
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  action: z.enum(ChangeAction),
  /** Object version that the patch is based on; 0 for a create. */
  baseVersion: z.number().int().min(0),
  /** For a create, a single `add` operation at the root path "". */
  operations: z.array(patchOperationSchema),
  /** Version of the object after the change. */
  version: z.number().int().min(1).optional(),
});
/** An accepted change. */
export type Change = z.infer<typeof changeSchema>;

/** State after all changes up to `sequence`, from which a replica can start. */
export const snapshotSchema = z.object({
  sequence: z.number().int().min(0),
  objects: z.array(z.object({
    kind: z.enum(ObjectKind),
    name: z.string(),
    version: z.number().int().min(1),
    object: z.unknown(),
  })),
  /**
   * Last versions of deleted objects; a re-created object continues from there.
   */
  deleted: z.array(z.object({
    kind: z.enum(ObjectKind),
    name: z.string(),
    version: z.number().int(),
  })),
  /** Recently accepted patch ids and their sequences, to detect retries. */
  recentPatches: z.array(
    z.object({
      patchId: z.string(),
      sequence: z.number(),
      version: z.number(),
      /**
       * Distinguishes a retry from a different change with the same patch id.
       */
      digest: z.string().optional(),
    }),
  ),
});
export type Snapshot = z.infer<typeof snapshotSchema>;
