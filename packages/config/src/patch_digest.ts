/**
 * Digest of the content of a patch. It distinguishes a retry of a patch from a
 * different change that reuses the same patch id.
 */
import { createHash } from "node:crypto";
import { type Change, ChangeAction } from "./change.ts";
import { operationsForCreate } from "./evaluate.ts";
import { validateObject } from "./validate.ts";

/** Length of a digest in hexadecimal digits. */
const DIGEST_DIGITS = 32;

/** The part of a change that its proposer chooses. */
export type PatchContent = Pick<
  Change,
  "kind" | "name" | "action" | "baseVersion" | "operations"
>;

/** Returns the operations, for a create with defaults applied as in the log. */
function normalizedOperations(
  content: PatchContent,
): PatchContent["operations"] {
  if (content.action !== ChangeAction.Create) return content.operations;
  const checked = validateObject(content.kind, content.operations[0]?.value);
  return checked.valid
    ? operationsForCreate(checked.object)
    : content.operations;
}

/** Computes the digest of a proposal or of the resulting change. */
export function patchDigest(content: PatchContent): string {
  const { kind, name, action, baseVersion } = content;
  const operations = normalizedOperations(content);
  const text = JSON.stringify({ kind, name, action, baseVersion, operations });
  return createHash("sha256").update(text).digest("hex")
    .slice(0, DIGEST_DIGITS);
}
