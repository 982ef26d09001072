/** Applies a peer's reply to the replica. */
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
 * Applies what is newer than the replica; true when the replica is then at
 * least as far as the peer. Documents that are not valid are left out: the
 * next pull asks for them again, from another peer when this one is passed
 * over.
 */
export function applyReply(replica: ConfigReplica, reply: PullReply): boolean {
  if (reply.snapshot && reply.snapshot.sequence > replica.sequence) {
    const parsed = snapshotSchema.safeParse(reply.snapshot.document);
    if (parsed.success) replica.install(parsed.data);
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
  return result === ApplyResult.Applied || result === ApplyResult.Old;
}
