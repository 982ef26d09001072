/**
 * Proposes configuration changes directly to the simulated store, so that these
 * calls are not counted as reads and writes of the daemons.
 */
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
import { monotonicNowMs } from "./messages.ts";

const NAME = "customer-0";

/** An accepted change and the start time of its proposal. */
export interface ProposedChange {
  sequence: number;
  proposedAtMs: number;
}

/** Proposes configuration changes one at a time. */
export class ChangeProposer {
  readonly #replica: MemoryReplica = createConfigReplica();
  readonly #log: ChangeLog;

  constructor(store: ObjectStore) {
    this.#log = createChangeLog({
      store,
      replica: this.#replica,
      office: "office-0",
    });
  }

  /** Proposes one change and resolves once it is accepted. */
  async propose(signal: AbortSignal): Promise<ProposedChange> {
    const known = this.#replica.get(ObjectKind.Customer, NAME);
    const count = this.#replica.sequence + 1;
    const limit = { requestsPerSecond: count };
    const customer = { name: NAME, keySha256: ["0".repeat(64)], limit };
    const atMs = monotonicNowMs();
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
      throw new Error(
        `the change proposed by the bench was not accepted: ${outcome.kind}`,
      );
    }
    return { sequence: outcome.sequence, proposedAtMs: atMs };
  }
}
