/**
 * A change of configuration as it stands in the store's change log and in the
 * relay. The log is the audit trail: an accepted change is there exactly once.
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

/** What a change does to its object. */
export enum ChangeAction {
  Create = "create",
  Patch = "patch",
  Delete = "delete",
}

export const changeSchema = z.object({
  /** Position in the total order; starts at 1, without gaps. */
  sequence: z.number().int().min(1),
  /** Chosen by the operator's tool; a patch sent again keeps its id. */
  patchId: z.string().min(1).max(128),
  /** Name of the operator secret that was used. */
  author: z.string().min(1),
  office: z.string().min(1),
  /** Wall-clock time of acceptance at the proposing daemon, ISO 8601. */
  time: z.string(),
  kind: z.enum(ObjectKind),
  name: z.string().min(1),
  action: z.enum(ChangeAction),
  /** Version that the patch was built on; 0 for a create. */
  baseVersion: z.number().int().min(0),
  /** For a create one `add` at the root path "". */
  operations: z.array(patchOperationSchema),
  /** Version of the object after the change. */
  version: z.number().int().min(1).optional(),
});
/** An accepted change. */
export type Change = z.infer<typeof changeSchema>;

/** State after all changes up to `sequence`; a replica can start from it. */
export const snapshotSchema = z.object({
  sequence: z.number().int().min(0),
  objects: z.array(z.object({
    kind: z.enum(ObjectKind),
    name: z.string(),
    version: z.number().int().min(1),
    object: z.unknown(),
  })),
  /** Versions of deleted objects, so that a re-created one goes on counting. */
  deleted: z.array(z.object({
    kind: z.enum(ObjectKind),
    name: z.string(),
    version: z.number().int(),
  })),
  /** Recently accepted patch ids and their sequences, to recognise repeats. */
  recentPatches: z.array(
    z.object({
      patchId: z.string(),
      sequence: z.number(),
      version: z.number(),
      /** Tells a repeat from another change under the same id. */
      digest: z.string().optional(),
    }),
  ),
});
export type Snapshot = z.infer<typeof snapshotSchema>;
