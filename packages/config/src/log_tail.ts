/** Reads the tail of the log: the changes that are not archived. */
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import { readArchiveHead } from "./archive_head.ts";
import type { Change } from "./change.ts";
import { LogReadStatus, type LogUnavailable } from "./change_log_contract.ts";
import { LIST_PAGE_SIZE } from "./constants.ts";
import { changeKey, CHANGES_PREFIX } from "./log_keys.ts";
import { parseChange } from "./log_reader.ts";

/** The tail of the log, and how far the log was archived after reading it. */
export type TailRead =
  | { status: LogReadStatus.Ok; changes: Change[]; through: number }
  | LogUnavailable;

/** Reads every change above the archive head, in order. */
export async function readTail(
  store: ObjectStore,
  signal: AbortSignal,
): Promise<TailRead> {
  const changes: Change[] = [];
  let after = changeKey(0);
  while (true) {
    const listed = await store.list(
      { prefix: CHANGES_PREFIX, after, limit: LIST_PAGE_SIZE },
      signal,
    );
    if (listed.status !== StoreStatus.Ok) {
      return { status: LogReadStatus.Unavailable, message: listed.message };
    }
    for (const object of listed.objects) {
      const change = parseChange(object);
      if (change) changes.push(change);
    }
    if (listed.objects.length < LIST_PAGE_SIZE) break;
    after = listed.objects.at(-1)!.key;
  }
  const head = await readArchiveHead(store, signal);
  if (!head) {
    const message = "the head of the archive can't be read";
    return { status: LogReadStatus.Unavailable, message };
  }
  const { through } = head;
  const live = changes.filter((change) => change.sequence > through);
  return { status: LogReadStatus.Ok, changes: live, through };
}
