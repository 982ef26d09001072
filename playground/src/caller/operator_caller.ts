/** An operator of the HTTP API, as a script uses it. */
import type { ApplyReply, ChangeDocument } from "@sassafrascleat/config";
import type { Secret } from "@sassafrascleat/runtime";
import { request } from "undici";

/** One operator call. */
export interface OperatorTarget {
  /** Base address of the operators' listener. */
  address: string;
  secret: Secret;
}

/** Applies a change; the reply says what became of it. */
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
