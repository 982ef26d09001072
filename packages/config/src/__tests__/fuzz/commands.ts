/** Fuzz test steps: proposals, faults, restarts, relays and maintenance. */
import fc from "fast-check";
import type { ProposeRequest } from "../../change_log_contract.ts";
import { ObjectKind } from "../../objects.ts";
import {
  createObject,
  createPolicy,
  deleteObject,
  neverAborts,
  patchObject,
  patchPolicy,
} from "../fixtures.ts";
import type { Cluster, Daemon } from "./cluster.ts";
import { WriteFault } from "./faulty_store.ts";

type Model = Record<string, never>;

/** One step; the cluster is checked after each step. */
class Step implements fc.AsyncCommand<Model, Cluster> {
  readonly #name: string;
  readonly #work: (cluster: Cluster) => Promise<void> | void;

  constructor(
    name: string,
    work: (cluster: Cluster) => Promise<void> | void,
  ) {
    this.#name = name;
    this.#work = work;
  }

  check(): boolean {
    return true;
  }

  async run(_model: Model, cluster: Cluster): Promise<void> {
    await this.#work(cluster);
    cluster.check();
  }

  toString(): string {
    return this.#name;
  }
}

/** Creates a proposal that depends on the daemon's current configuration. */
type ProposalFactory = (daemon: Daemon, patchId: string) => ProposeRequest;

const POOL = { name: "whistle", role: "plain", office: "co-op" };

function baseVersionOf(
  daemon: Daemon,
  kind: ObjectKind,
  name: string,
  versionOffset: number,
) {
  return (daemon.replica.get(kind, name)?.version ?? 0) + versionOffset;
}

const policyName = fc.constantFrom("a", "b");
const attempts = fc.integer({ min: 0, max: 17 });
const versionOffset = fc.constantFrom(0, 0, 0, 0, -1, 1);

const policyProposal: fc.Arbitrary<ProposalFactory> = fc.oneof(
  fc.tuple(policyName, attempts).map(
    ([name, maxAttempts]): ProposalFactory => (_, patchId) =>
      createPolicy(patchId, name, { maxAttempts }),
  ),
  fc.tuple(policyName, attempts, versionOffset).map(
    ([name, value, by]): ProposalFactory => (daemon, patchId) => {
      const base = baseVersionOf(daemon, ObjectKind.Policy, name, by);
      return patchPolicy(patchId, name, base, value);
    },
  ),
  fc.tuple(policyName, versionOffset).map(
    ([name, by]): ProposalFactory => (daemon, patchId) => {
      const base = baseVersionOf(daemon, ObjectKind.Policy, name, by);
      return deleteObject(patchId, ObjectKind.Policy, name, base);
    },
  ),
);

const serviceProposal: fc.Arbitrary<ProposalFactory> = fc.oneof(
  fc.constant<ProposalFactory>((_, patchId) =>
    createObject(patchId, ObjectKind.Pool, POOL)
  ),
  versionOffset.map((by): ProposalFactory => (daemon, patchId) => {
    const base = baseVersionOf(daemon, ObjectKind.Pool, POOL.name, by);
    return deleteObject(patchId, ObjectKind.Pool, POOL.name, base);
  }),
  policyName.map((policy): ProposalFactory => (_, patchId) => {
    const pool = POOL.name;
    const office = POOL.office;
    const service = { kind: "plain", name: "punch", office, pool, policy };
    return createObject(patchId, ObjectKind.Service, service);
  }),
  policyName.map((policy): ProposalFactory => (daemon, patchId) => {
    const base = baseVersionOf(daemon, ObjectKind.Service, "punch", 0);
    const operation = {
      op: "replace",
      path: "/policy",
      value: policy,
    } as const;
    return patchObject(patchId, ObjectKind.Service, "punch", base, [operation]);
  }),
  versionOffset.map((by): ProposalFactory => (daemon, patchId) => {
    const base = baseVersionOf(daemon, ObjectKind.Service, "punch", by);
    return deleteObject(patchId, ObjectKind.Service, "punch", base);
  }),
);

const proposalFactory = fc.oneof(policyProposal, serviceProposal);
const index = fc.integer({ min: 0, max: 3 });

function propose(
  cluster: Cluster,
  at: number,
  make: ProposalFactory,
): Promise<void> {
  const req = make(cluster.daemon(at), cluster.newPatchId());
  return cluster.propose(at, req);
}

const proposals = [
  fc.tuple(index, proposalFactory).map(([at, make]) =>
    new Step(`propose at ${at}`, (cluster) => propose(cluster, at, make))
  ),
  fc.array(fc.tuple(index, proposalFactory), { minLength: 2, maxLength: 4 })
    .map((all) =>
      new Step(`race at ${all.map(([at]) => at)}`, async (cluster) => {
        await Promise.all(all.map(([at, make]) => propose(cluster, at, make)));
      })
    ),
  fc.tuple(index, fc.nat()).map(([at, pick]) =>
    new Step(`retry of an unknown outcome at ${at}`, async (cluster) => {
      const [req] = cluster.unknown.splice(pick % cluster.unknown.length, 1);
      if (req) await cluster.propose(at, req);
    })
  ),
  fc.tuple(index, fc.nat()).map(([at, pick]) =>
    new Step(`retry of an accepted proposal at ${at}`, async (cluster) => {
      const req = cluster.accepted[pick % cluster.accepted.length];
      if (req) await cluster.propose(at, { ...req, repeated: true });
    })
  ),
];

/**
 * Proposes many patches in a row, so that the log is archived past the sequence
 * of daemons that lag behind.
 */
async function burst(cluster: Cluster, at: number, count: number) {
  const daemon = cluster.daemon(at);
  for (let i = 0; i < count; i++) {
    const policy = daemon.replica.get(ObjectKind.Policy, "a");
    const id = cluster.newPatchId();
    const req = policy
      ? patchPolicy(id, "a", policy.version, (i % 16) + 1)
      : createPolicy(id, "a");
    await cluster.propose(at, req);
    await daemon.log.maintain(neverAborts);
  }
}

proposals.push(
  fc.tuple(index, fc.integer({ min: 4, max: 12 })).map(([at, count]) =>
    new Step(
      `burst of ${count} at ${at}`,
      (cluster) => burst(cluster, at, count),
    )
  ),
);

/** Pauses one daemon in the middle of a proposal while others continue. */
async function pause(
  cluster: Cluster,
  at: number,
  make: ProposalFactory,
  count: number,
) {
  const release = cluster.daemon(at).store.pause();
  const pending = propose(cluster, at, make);
  await burst(cluster, at + 1, count);
  release();
  await pending;
}

proposals.push(
  fc.tuple(index, proposalFactory, fc.integer({ min: 0, max: 12 })).map((
    [at, make, count],
  ) =>
    new Step(
      `pause of ${at} for ${count} changes`,
      (cluster) => pause(cluster, at, make, count),
    )
  ),
);

/** Mostly false, so that the store works for most proposals. */
const mostlyFalse = fc.constantFrom(false, false, false, true);

const writeFault = fc.constantFrom(...Object.values(WriteFault));

const faults = [
  fc.tuple(index, writeFault, fc.integer({ min: 1, max: 14 })).map((
    [at, fault, count],
  ) =>
    new Step(`${count} writes ${fault} at ${at}`, (cluster) => {
      const { store } = cluster.daemon(at);
      store.writeFault = fault;
      store.faultsLeft = count;
    })
  ),
  fc.tuple(index, mostlyFalse).map(([at, on]) =>
    new Step(`partition of ${at} ${on}`, (cluster) => {
      cluster.daemon(at).store.partitioned = on;
    })
  ),
  mostlyFalse.map((on) =>
    new Step(`outage ${on}`, (cluster) => {
      cluster.network.outage = on;
    })
  ),
  fc.constant(
    new Step(
      "deliver late writes",
      (cluster) => cluster.network.deliverLateWrites(),
    ),
  ),
];

const maintenance = [
  index.map((at) =>
    new Step(`catch up ${at}`, async (cluster) => {
      await cluster.daemon(at).log.catchUp(neverAborts);
    })
  ),
  index.map((at) =>
    new Step(
      `maintain ${at}`,
      (cluster) => cluster.daemon(at).log.maintain(neverAborts),
    )
  ),
  fc.tuple(index, index).map(([from, to]) =>
    new Step(`relay ${from} to ${to}`, (cluster) => cluster.relay(from, to))
  ),
  fc.tuple(index, fc.option(index, { nil: undefined })).map(([at, peer]) =>
    new Step(
      `restart ${at} from ${peer ?? "the store"}`,
      (cluster) => cluster.restart(at, peer),
    )
  ),
];

/** Sequences of steps. */
export const steps = fc.commands(
  [...proposals, ...proposals, ...faults, ...maintenance],
  { maxCommands: 60, size: "max" },
);
