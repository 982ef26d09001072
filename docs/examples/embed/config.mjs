/** The configuration log alone: a change, an outdated one, the audit trail. */
import {
  createChangeLog,
  createConfigReplica,
  toProposal,
} from "@sassafrascleat/config";
import { createMemoryStore } from "@sassafrascleat/store";

const create = {
  kind: "policy",
  action: "create",
  object: { name: "whistle" },
};

const patch = {
  kind: "policy",
  action: "patch",
  name: "whistle",
  baseVersion: 1,
  operations: [{ op: "replace", path: "/maxAttempts", value: 3 }],
};

/** Returns the outcomes of three proposals and the authors in the trail. */
export async function run() {
  const { signal } = new AbortController();
  const changeLog = createChangeLog({
    store: createMemoryStore(),
    replica: createConfigReplica(),
    office: "carolinas",
  });
  const propose = (change, patchId) =>
    changeLog.propose(toProposal(change, patchId, "ada"), signal);
  const outcomes = [
    await propose(create, "p-1"),
    await propose(patch, "p-2"),
    await propose(patch, "p-3"), // built on version 1, which is not in force
  ];
  const history = await changeLog.history({}, signal);
  return {
    outcomes: outcomes.map((it) => it.kind),
    authors: history.changes.map((it) => it.author),
  };
}
