/** Applies a peer's reply to the local replica. */
import {
  ApplyResult,
  changeSchema,
  type ConfigReplica,
  snapshotSchema,
} from "@sassafrascleat/config";
import type { PullReply } from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";

const log = createLogger("relay");

/**
 * Applies the snapshot and changes that are newer than the replica; true if the
 * replica then has at least the peer's sequence. Ignores an invalid snapshot and
 * stops at the first change that is invalid or does not apply. The next pull
 * requests them again, from another peer if this one is skipped by then.
 */
export function applyReply(replica: ConfigReplica, reply: PullReply): boolean {
  if (reply.snapshot && reply.snapshot.sequence > replica.sequence) {
    const parsed = snapshotSchema.safeParse(reply.snapshot.document);
    if (parsed.success) replica.installSnapshot(parsed.data);
    else log("snapshot_invalid", { sequence: reply.snapshot.sequence });
  }
  for (const { sequence, document } of reply.changes) {
    if (!applyDocument(replica, document)) {
      log("change_refused", { sequence });
      break;
    }
  }
  return replica.sequence >= reply.sequence;
}

function applyDocument(replica: ConfigReplica, document: unknown): boolean {
  const parsed = changeSchema.safeParse(document);
  if (!parsed.success) return false;
  const result = replica.apply(parsed.data);
  return result === ApplyResult.Applied ||
    result === ApplyResult.AlreadyApplied;
}
