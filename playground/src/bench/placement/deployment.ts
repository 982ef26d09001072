/**
 * The two deployments that the placement bench simulates: six engines in three
 * availability zones, two of them for prefill, with the latencies and the
 * workload of each office.
 */

/** Names of the simulated deployments. */
export enum Deployment {
  Coop = "coop",
  Turretfold = "turretfold",
}

/** Measured performance of one engine. */
export interface EngineShape {
  /** Maximum number of requests in a decode batch. */
  slots: number;
  /** Duration of a decode step with `n` requests: base + n * perRequest. */
  stepBaseMs: number;
  stepPerRequestMs: number;
  /** Prompt tokens per second. */
  prefillRate: number;
  /** KV transfer rate, in tokens per second. */
  linkRate: number;
  /** Time until an unused prefill result is freed, in milliseconds. */
  resultLifetimeMs: number;
}

/** Lognormal distribution of a length in tokens, truncated at `cap`. */
export interface LengthDistribution {
  median: number;
  sigma: number;
  cap: number;
}

/** Distribution of the requests of a deployment. */
export interface Workload {
  /** Prompt tokens after the shared prefix. */
  promptSuffix: LengthDistribution;
  answer: LengthDistribution;
  /** Number of shared prefixes; the first is the most frequent. */
  prefixes: number;
  /** Maximum length of a shared prefix, in pieces of the KV cache. */
  maxPrefixPieces: number;
  /** Share of the requests with a shared prefix. */
  prefixShare: number;
  customers: number;
}

/** Size, latencies, workload and targets of one deployment. */
export interface DeploymentShape {
  office: string;
  zones: readonly string[];
  /** One-way latency between availability zones, in milliseconds. */
  zoneLatencyMs: number;
  /** One-way latency to callers, in milliseconds. */
  callerLatencyMs: number;
  prefillEngines: number;
  decodeEngines: number;
  entries: number;
  engine: EngineShape;
  workload: Workload;
  objective: "goodput" | "waste";
  ttftTargetMs: number;
  tbtTargetMs: number;
}

const ENGINE: EngineShape = {
  slots: 20,
  stepBaseMs: 18,
  stepPerRequestMs: 0.9,
  prefillRate: 25_000,
  linkRate: 400_000,
  resultLifetimeMs: 800,
};

const COMMON = {
  prefillEngines: 2,
  decodeEngines: 4,
  entries: 2,
  engine: ENGINE,
  ttftTargetMs: 570,
  tbtTargetMs: 43,
};

export const DEPLOYMENTS: Record<Deployment, DeploymentShape> = {
  [Deployment.Coop]: {
    ...COMMON,
    office: "coop",
    zones: ["gastonia", "kannapolis", "rock-hill"],
    zoneLatencyMs: 1.5,
    callerLatencyMs: 3,
    objective: "waste",
    workload: {
      promptSuffix: { median: 1_400, sigma: 0.9, cap: 24_000 },
      answer: { median: 70, sigma: 0.7, cap: 400 },
      prefixes: 6,
      maxPrefixPieces: 2,
      prefixShare: 0.5,
      customers: 12,
    },
  },
  [Deployment.Turretfold]: {
    ...COMMON,
    office: "turretfold",
    zones: ["hobart-a", "hobart-b", "kingston-c"],
    zoneLatencyMs: 0.5,
    callerLatencyMs: 1,
    objective: "goodput",
    workload: {
      promptSuffix: { median: 1_000, sigma: 1, cap: 16_000 },
      answer: { median: 90, sigma: 0.8, cap: 600 },
      prefixes: 4,
      maxPrefixPieces: 3,
      prefixShare: 0.7,
      customers: 20,
    },
  },
};

/** Duration of a decode step with `running` requests, in milliseconds. */
export function stepMs(engine: EngineShape, running: number): number {
  return engine.stepBaseMs + engine.stepPerRequestMs * running;
}
