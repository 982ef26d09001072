/**
 * A digest of what a patch changes, so that a patch id that is used again for
 * another change is told apart from a patch that is sent again.
 */
import { createHash } from "node:crypto";
import { type Change, ChangeAction } from "./change.ts";
import { createOperations } from "./evaluate.ts";
import { validateObject } from "./validate.ts";

/** Hexadecimal digits of a digest. */
const DIGEST_DIGITS = 32;

/** The part of a change that its proposer decides. */
export type PatchContent = Pick<
  Change,
  "kind" | "name" | "action" | "baseVersion" | "operations"
>;

/** A create counts with its defaults, as the log holds it. */
function normalizedOperations(
  content: PatchContent,
): PatchContent["operations"] {
  if (content.action !== ChangeAction.Create) return content.operations;
  const checked = validateObject(content.kind, content.operations[0]?.value);
  return checked.valid ? createOperations(checked.object) : content.operations;
}

/** The digest of a proposal, or of the change that it became. */
export function patchDigest(content: PatchContent): string {
  const { kind, name, action, baseVersion } = content;
  const operations = normalizedOperations(content);
  const text = JSON.stringify({ kind, name, action, baseVersion, operations });
  return createHash("sha256").update(text).digest("hex")
    .slice(0, DIGEST_DIGITS);
}
