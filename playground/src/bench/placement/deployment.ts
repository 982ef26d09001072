/**
 * The two deployments as the placement bench runs them: six engines in three
 * availability zones, two of them for prefill, with the latencies and the kind
 * of requests of each office.
 */

/** The deployments. */
export enum Deployment {
  Coop = "coop",
  Turretfold = "turretfold",
}

/** The measured behaviour of one engine. */
export interface EngineShape {
  /** Requests in a decode batch. */
  slots: number;
  /** Time of a decode step with `n` requests: base + n * perRequest. */
  stepBaseMs: number;
  stepPerRequestMs: number;
  /** Prompt tokens a second. */
  prefillRate: number;
  /** Rate of the KV link, in tokens a second. */
  linkRate: number;
  /** Life of a prefill result, in milliseconds. */
  resultLifetimeMs: number;
}

/** A length in tokens, drawn from a lognormal with a cap. */
export interface LengthShape {
  median: number;
  sigma: number;
  cap: number;
}

/** The kind of requests of a deployment. */
export interface Workload {
  /** Tokens of a prompt behind its shared prefix. */
  ownPrompt: LengthShape;
  answer: LengthShape;
  /** Shared prefixes; the first is the most used. */
  prefixes: number;
  /** Memory pieces of a shared prefix at most. */
  prefixPieces: number;
  /** Share of the requests that have a shared prefix. */
  prefixShare: number;
  customers: number;
}

/** One deployment. */
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

/** Shapes of the deployments. */
export const DEPLOYMENTS: Record<Deployment, DeploymentShape> = {
  [Deployment.Coop]: {
    ...COMMON,
    office: "coop",
    zones: ["gastonia", "kannapolis", "rock-hill"],
    zoneLatencyMs: 1.5,
    callerLatencyMs: 3,
    objective: "waste",
    workload: {
      ownPrompt: { median: 1_400, sigma: 0.9, cap: 24_000 },
      answer: { median: 70, sigma: 0.7, cap: 400 },
      prefixes: 6,
      prefixPieces: 2,
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
      ownPrompt: { median: 1_000, sigma: 1, cap: 16_000 },
      answer: { median: 90, sigma: 0.8, cap: 600 },
      prefixes: 4,
      prefixPieces: 3,
      prefixShare: 0.7,
      customers: 20,
    },
  },
};

/** Time of a decode step with `running` requests, in milliseconds. */
export function stepMs(engine: EngineShape, running: number): number {
  return engine.stepBaseMs + engine.stepPerRequestMs * running;
}
