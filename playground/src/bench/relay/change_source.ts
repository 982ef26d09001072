/** Proposes changes straight to the stand-in store, uncounted. */
import {
  ChangeAction,
  type ChangeLog,
  createChangeLog,
  createConfigReplica,
  type MemoryReplica,
  ObjectKind,
  operationsForCreate,
  ProposeKind,
} from "@sassafrascleat/config";
import type { ObjectStore } from "@sassafrascleat/store";
import { machineNowMs } from "./messages.ts";

const NAME = "customer-0";

/** An accepted change and when its proposal began. */
export interface Proposed {
  sequence: number;
  atMs: number;
}

/** Makes one accepted change after another. */
export class ChangeSource {
  readonly #replica: MemoryReplica = createConfigReplica();
  readonly #log: ChangeLog;

  constructor(store: ObjectStore) {
    this.#log = createChangeLog({
      store,
      replica: this.#replica,
      office: "office-0",
    });
  }

  /** Proposes one change and returns it once it is accepted. */
  async propose(signal: AbortSignal): Promise<Proposed> {
    const known = this.#replica.get(ObjectKind.Customer, NAME);
    const count = this.#replica.sequence + 1;
    const limit = { requestsPerSecond: count };
    const customer = { name: NAME, keySha256: ["0".repeat(64)], limit };
    const atMs = machineNowMs();
    const outcome = await this.#log.propose({
      patchId: `patch-${count}`,
      author: "bench",
      kind: ObjectKind.Customer,
      name: NAME,
      action: known ? ChangeAction.Patch : ChangeAction.Create,
      baseVersion: known?.version ?? 0,
      operations: known
        ? [{
          op: "replace",
          path: "/limit/requestsPerSecond",
          value: count,
        }]
        : operationsForCreate(customer),
    }, signal);
    if (outcome.kind !== ProposeKind.Accepted) {
      throw new Error(`the bench's change was not accepted: ${outcome.kind}`);
    }
    return { sequence: outcome.sequence, atMs };
  }
}
