/** The configuration of the fuzzed world. */
import {
  ChangeAction,
  createChangeLog,
  createConfigReplica,
  createOperations,
  ObjectKind,
  ProposeKind,
} from "@sassafrascleat/config";
import { BackendRole } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";
import type { StoreServer } from "@sassafrascleat/testing";

export const FUZZ_MODEL = "fuzzed-model";
export const FUZZ_PLAIN_SERVICE = "orders";

/** Time for the answer of a plain call, in milliseconds. */
const PLAIN_TIMEOUT_MS = 700;

/** Longest time that a request may take, in milliseconds. */
const REQUEST_TIMEOUT_MS = 12_000;

interface PlannedObject {
  kind: ObjectKind;
  object: { name: string } & Record<string, unknown>;
}

function plan(): PlannedObject[] {
  const common = { office: "carolinas", policy: "standard" };
  const roles = [BackendRole.Prefill, BackendRole.Decode, BackendRole.Plain];
  const pools = roles.map((role) => ({
    kind: ObjectKind.Pool,
    object: { name: role, office: "carolinas", role },
  }));
  const model = {
    ...common,
    kind: "model",
    name: "model-service",
    model: FUZZ_MODEL,
    prefillPool: BackendRole.Prefill,
    decodePool: BackendRole.Decode,
  };
  const plain = {
    ...common,
    kind: "plain",
    name: FUZZ_PLAIN_SERVICE,
    pool: BackendRole.Plain,
    repeatable: [{ method: "GET", path: "/" }],
    timeoutMs: PLAIN_TIMEOUT_MS,
  };
  return [
    {
      kind: ObjectKind.Policy,
      object: {
        name: "standard",
        retryBudgetRatio: 1,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
      },
    },
    ...pools,
    { kind: ObjectKind.Service, object: model },
    { kind: ObjectKind.Service, object: plain },
  ];
}

/**
 * Writes the configuration straight into the store behind the stand-in;
 * returns the sequence of its last change.
 */
export async function seedWorldConfiguration(
  server: StoreServer,
): Promise<number> {
  const replica = createConfigReplica();
  const changeLog = createChangeLog({
    store: server.store,
    replica,
    office: "carolinas",
  });
  const signal = new AbortController().signal;
  for (const { kind, object } of plan()) {
    const outcome = await changeLog.propose({
      patchId: `seed-${kind}-${object.name}`,
      author: "fuzz",
      kind,
      name: object.name,
      action: ChangeAction.Create,
      baseVersion: 0,
      operations: createOperations(object),
    }, signal);
    invariant(
      outcome.kind === ProposeKind.Accepted,
      `the world's configuration was refused: ${JSON.stringify(outcome)}`,
    );
  }
  return replica.sequence;
}
