/** Two daemons and one store: a change accepted at one is in force at both. */
import {
  createChangeLog,
  createConfigReplica,
  toProposal,
} from "@sassafrascleat/config";
import {
  createChangeLogFollower,
  createRelay,
  createStaticPeers,
} from "@sassafrascleat/membership";
import { Secret } from "@sassafrascleat/runtime";
import { createMemoryStore } from "@sassafrascleat/store";

/** A daemon that only follows the configuration. */
function createDaemon(store, daemonId) {
  const replica = createConfigReplica();
  const office = "carolinas";
  const changeLog = createChangeLog({ store, replica, office });
  const relay = createRelay({
    daemonId,
    office,
    availabilityZone: "gastonia",
    address: "http://127.0.0.1:7000", // where `relay.control` is served
    replica,
    changeLogFollower: createChangeLogFollower({ store, changeLog }),
    peers: createStaticPeers([]),
    secret: new Secret("system", "an example"),
  });
  return { replica, changeLog, relay };
}

/** Returns the sequence that the second daemon has in force at the end. */
export async function run() {
  const stop = new AbortController();
  const store = createMemoryStore();
  const first = createDaemon(store, "entry-1");
  const second = createDaemon(store, "entry-2");
  const running = [first, second].map((it) => it.relay.run(stop.signal));
  const inForce = new Promise((resolve) =>
    second.replica.onChange(() => resolve(), stop.signal)
  );
  const change = {
    kind: "policy",
    action: "create",
    object: { name: "whistle" },
  };
  await first.changeLog.propose(toProposal(change, "p-1", "ada"), stop.signal);
  await inForce;
  stop.abort();
  await Promise.all(running);
  return second.replica.sequence;
}
