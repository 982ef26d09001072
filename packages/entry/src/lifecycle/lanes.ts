/**
 * Scheduling state of each service, called a lane: its admission queue,
 * placement policy and retry budget. A lane belongs to one version of the
 * routing policy. When the policy changes, new requests use a new lane, and
 * those in the old lane run to their end.
 */
import {
  ObjectKind,
  type Policy,
  policySchema,
  type Service,
} from "@sassafrascleat/config";
import {
  createAdmissionQueue,
  createRetryBudget,
  type PlacementPolicy,
  type RetryBudget,
} from "@sassafrascleat/routing";
import type { EntryContext } from "./context.ts";
import { Dispatcher } from "./dispatcher.ts";
import { Reserver } from "./reserver.ts";

/** Scheduling state shared by the requests of one service. */
export interface Lane {
  policy: Policy;
  policyVersion: number;
  placement: PlacementPolicy;
  budget: RetryBudget;
  reserver: Reserver;
  dispatcher: Dispatcher;
}

/** Creates and holds the lanes of an entry. */
export class Lanes {
  readonly #ctx: EntryContext;
  readonly #lanes = new Map<string, Lane>();

  constructor(ctx: EntryContext) {
    this.#ctx = ctx;
  }

  /** Returns the lane of `service` for the current version of its policy. */
  of(service: Service): Lane {
    const { config } = this.#ctx.options;
    const found = config.get(ObjectKind.Policy, service.policy);
    const version = found?.version ?? 0;
    const lane = this.#lanes.get(service.name);
    if (
      lane?.policyVersion === version && lane.policy.name === service.policy
    ) return lane;
    const policy = found?.object ??
      policySchema.parse({ name: service.policy });
    const created = this.#create(policy, version);
    this.#lanes.set(service.name, created);
    return created;
  }

  /** Number of requests waiting for placement, by service. */
  queueLengths(): { service: string; length: number }[] {
    return [...this.#lanes].map(([service, lane]) => ({
      service,
      length: lane.dispatcher.size,
    }));
  }

  #create(policy: Policy, policyVersion: number): Lane {
    const { random, placement } = this.#ctx.options;
    const reserver = new Reserver(this.#ctx);
    const queue = createAdmissionQueue({ maxLength: policy.maxQueueLength });
    return {
      policy,
      policyVersion,
      placement: placement(policy),
      budget: createRetryBudget(policy.retryBudgetRatio, { random }),
      reserver,
      dispatcher: new Dispatcher(this.#ctx, reserver, queue),
    };
  }
}
