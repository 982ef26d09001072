/** Configuration of the deployment under fuzzing. */
import {
  ChangeAction,
  createChangeLog,
  createConfigReplica,
  ObjectKind,
  operationsForCreate,
  ProposeKind,
} from "@sassafrascleat/config";
import { BackendRole } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";
import type { StoreServer } from "@sassafrascleat/testing";

export const FUZZ_MODEL = "fuzzed-model";
export const FUZZ_PLAIN_SERVICE = "orders";

/** Timeout of a plain call, in milliseconds. */
const PLAIN_TIMEOUT_MS = 700;

/** Timeout of a request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 12_000;

interface PlannedObject {
  kind: ObjectKind;
  object: { name: string } & Record<string, unknown>;
}

function plannedObjects(): PlannedObject[] {
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
 * Writes the configuration directly to the stand-in server's underlying store.
 * Returns the sequence number of the last change.
 */
export async function seedConfiguration(
  server: StoreServer,
): Promise<number> {
  const replica = createConfigReplica();
  const changeLog = createChangeLog({
    store: server.store,
    replica,
    office: "carolinas",
  });
  const signal = new AbortController().signal;
  for (const { kind, object } of plannedObjects()) {
    const outcome = await changeLog.propose({
      patchId: `seed-${kind}-${object.name}`,
      author: "fuzz",
      kind,
      name: object.name,
      action: ChangeAction.Create,
      baseVersion: 0,
      operations: operationsForCreate(object),
    }, signal);
    invariant(
      outcome.kind === ProposeKind.Accepted,
      `the deployment's configuration was refused: ${JSON.stringify(outcome)}`,
    );
  }
  return replica.sequence;
}
