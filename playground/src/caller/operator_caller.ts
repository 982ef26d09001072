/** Client of the operators' HTTP API for scripts and tests. */
import type { ApplyReply, ChangeDocument } from "@sassafrascleat/config";
import type { Secret } from "@sassafrascleat/runtime";
import { request } from "undici";

/** Address and credentials for operator calls. */
export interface OperatorTarget {
  /** Base URL of the operators' listener. */
  address: string;
  secret: Secret;
}

/** Applies a configuration change and returns its outcome. */
export async function applyChange(
  target: OperatorTarget,
  patchId: string,
  change: ChangeDocument,
): Promise<ApplyReply> {
  const res = await request(`${target.address}/v1/apply`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      authorization: `Bearer ${target.secret.reveal()}`,
    },
    body: JSON.stringify({ patchId, change }),
  });
  return await res.body.json() as ApplyReply;
}
