/** What a router keeps for each service and route, created on first use. */
import { OutputLengthEstimator } from "./decide/output_length_estimator.ts";
import { PrefillQueueEstimator } from "./decide/prefill_queue.ts";
import { PrefillSpeedEstimator } from "./decide/prefill_speed.ts";
import { RetryBudget, type RetryBudgetOptions } from "./decide/retry_budget.ts";
import {
  ServiceScheduling,
  type ServiceSchedulingOptions,
} from "./decide/service_scheduling.ts";
import type { StageWork } from "./decide/stage_plan.ts";

/** Options of {@link ServiceStates}. */
export interface ServiceStatesOptions {
  retryBudget: RetryBudgetOptions;
  scheduling: ServiceSchedulingOptions;
  /** Prefill throughput until it was observed, in tokens per millisecond. */
  prefillTokensPerMs: number;
}

/** Estimates and budgets of one router process. */
export class ServiceStates {
  readonly #options: ServiceStatesOptions;
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #outputEstimators = new Map<string, OutputLengthEstimator>();
  readonly #prefillSpeeds = new Map<string, PrefillSpeedEstimator>();
  readonly #prefillQueues = new Map<string, PrefillQueueEstimator>();
  readonly #stageWork = new Map<string, StageWork>();
  readonly #schedulings = new Map<string, ServiceScheduling>();

  constructor(options: ServiceStatesOptions) {
    this.#options = options;
  }

  /** This router's share of a service's retries. */
  retryBudgetOf(service: string): RetryBudget {
    const create = () => new RetryBudget(this.#options.retryBudget);
    return getOrCreate(this.#retryBudgets, service, create);
  }

  /** Lengths of the outputs of a route. */
  outputEstimatorOf(route: string): OutputLengthEstimator {
    const create = () => new OutputLengthEstimator();
    return getOrCreate(this.#outputEstimators, route, create);
  }

  /** Prefill throughput of a service's engines. */
  prefillSpeedOf(service: string): PrefillSpeedEstimator {
    const create = () =>
      new PrefillSpeedEstimator(this.#options.prefillTokensPerMs);
    return getOrCreate(this.#prefillSpeeds, service, create);
  }

  /** Wait at the prefill engines of a service. */
  prefillQueueOf(service: string): PrefillQueueEstimator {
    const { clock } = this.#options.retryBudget;
    const create = () => new PrefillQueueEstimator(clock);
    return getOrCreate(this.#prefillQueues, service, create);
  }

  /** Estimated work of a service's generations that ended at this router. */
  stageWorkOf(service: string): StageWork {
    const create = () => ({ prefillMs: 0, decodeMs: 0 });
    return getOrCreate(this.#stageWork, service, create);
  }

  /** State that schedules a service's generations when memory is short. */
  schedulingOf(service: string): ServiceScheduling {
    const create = () => new ServiceScheduling(this.#options.scheduling);
    return getOrCreate(this.#schedulings, service, create);
  }
}

/** Returns the value of `key`, creating it if absent. */
export function getOrCreate<K, V>(
  map: Map<K, V>,
  key: K,
  create: () => V,
): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const fresh = create();
  map.set(key, fresh);
  return fresh;
}
