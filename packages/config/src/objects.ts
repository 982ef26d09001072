/**
 * Schemas of the configuration objects that operators manage: services, pools,
 * routing policies and customers. Parsing applies the defaults, so a parsed
 * object always includes the fields that have a default.
 */
import { BackendRole, RequestClass } from "@sassafrascleat/protocol";
import { z } from "zod";

/** Kinds of configuration objects. */
export enum ObjectKind {
  Service = "service",
  Pool = "pool",
  Policy = "policy",
  Customer = "customer",
}

/**
 * The measure that a routing policy optimizes when goodput and waste conflict.
 */
export enum RoutingObjective {
  /** Maximizes the number of requests that meet both latency targets. */
  Goodput = "goodput",
  /** Minimizes prefill work whose result no client receives. */
  Waste = "waste",
}

/** Kinds of services. */
export enum ServiceKind {
  Model = "model",
  Plain = "plain",
}

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "lower-case letters, digits and dashes, at most 63",
);

/** Calls of a plain service that are safe to retry. */
export const repeatableRouteSchema = z.strictObject({
  method: z.enum(["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"]).describe(
    "HTTP method",
  ),
  path: z.string().startsWith("/").describe(
    "Path relative to the service, matched as a prefix of whole path segments",
  ),
});

export const modelServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Model).describe("Kind of the service"),
  name: nameSchema.describe("Unique name of the service"),
  office: nameSchema.describe("Office whose pools serve the service"),
  model: z.string().min(1).describe(
    "Model name that clients send in API requests",
  ),
  prefillPool: nameSchema.describe("Pool of the engines that run prefill"),
  decodePool: nameSchema.describe("Pool of the engines that run decode"),
  policy: nameSchema.describe("Routing policy for requests to the service"),
  maxPromptTokens: z.number().int().min(1).default(60_000).describe(
    "Longest prompt, in tokens",
  ),
  maxOutputTokens: z.number().int().min(1).default(4_096).describe(
    "Longest output, in tokens",
  ),
  defaultOutputTokens: z.number().int().min(1).default(256).describe(
    "Output token limit of a request that specifies none",
  ),
});

export const plainServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Plain).describe("Kind of the service"),
  name: nameSchema.describe(
    "Unique name of the service, which is part of its URL",
  ),
  office: nameSchema.describe("Office whose pool serves the service"),
  pool: nameSchema.describe("Pool of the service's backend servers"),
  policy: nameSchema.describe("Routing policy for calls to the service"),
  repeatable: z.array(repeatableRouteSchema).default([]).describe(
    "Calls that are safe to retry; any other call runs at most once",
  ),
  timeoutMs: z.number().int().min(1).default(5_000).describe(
    "Timeout of one call, in milliseconds",
  ),
});

export const serviceSchema = z.discriminatedUnion("kind", [
  modelServiceSchema,
  plainServiceSchema,
]);
export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainServiceConfig = z.infer<typeof plainServiceSchema>;
export type Service = z.infer<typeof serviceSchema>;

export const poolSchema = z.strictObject({
  name: nameSchema.describe("Unique name of the pool"),
  office: nameSchema.describe("Office of the pool's backend servers"),
  role: z.enum(BackendRole).describe("Role of the pool's backend servers"),
  model: z.string().default("").describe(
    "Model that the pool's engines should have loaded",
  ),
  modelVersion: z.string().default("").describe("Version of that model"),
  adapters: z.array(z.string().min(1)).default([]).describe(
    "Adapters that the pool's engines should have loaded",
  ),
  maxConcurrentLoads: z.number().int().min(1).default(1).describe(
    "Engines of the pool that may load weights at once",
  ),
});
export type Pool = z.infer<typeof poolSchema>;

const limitSchema = z.strictObject({
  requestsPerSecond: z.number().positive().default(1_000).describe(
    "Sustained requests per second of one customer at one entry",
  ),
  burst: z.number().int().min(1).default(200).describe(
    "Requests that may arrive at once",
  ),
  concurrent: z.number().int().min(1).default(500).describe(
    "Requests in progress at one entry",
  ),
});
export type CustomerLimit = z.infer<typeof limitSchema>;

export const policySchema = z.strictObject({
  name: nameSchema.describe("Unique name of the policy"),
  objective: z.enum(RoutingObjective).default(RoutingObjective.Goodput)
    .describe(
      "What to optimize when goodput and wasted prefill work conflict",
    ),
  ttftTargetMs: z.number().positive().default(570).describe(
    "Target time to the first token, in milliseconds",
  ),
  tbtTargetMs: z.number().positive().default(43).describe(
    "Target time between tokens, in milliseconds",
  ),
  requestTimeoutMs: z.number().positive().default(120_000).describe(
    "Longest total time of a request, in milliseconds",
  ),
  maxQueueMs: z.number().positive().default(10_000).describe(
    "Longest time in the queue before a request is rejected, in milliseconds",
  ),
  maxQueueLength: z.number().int().min(1).default(400).describe(
    "Requests that may be queued at one entry",
  ),
  maxAttempts: z.number().int().min(1).max(16).default(4).describe(
    "Attempts per request, including the first",
  ),
  retryBudgetRatio: z.number().min(0).max(1).default(0.15).describe(
    "Retries allowed per new request, as a ratio",
  ),
  requireApiKey: z.boolean().default(false).describe(
    "Reject clients without a known API key",
  ),
  defaultClass: z.enum(RequestClass).default(RequestClass.Standard).describe(
    "Class of a request that specifies none",
  ),
  limit: limitSchema.prefault({}).describe(
    "Limits of a customer without limits of its own",
  ),
});
export type Policy = z.infer<typeof policySchema>;

export const customerSchema = z.strictObject({
  name: nameSchema.describe("Unique name of the customer"),
  keySha256: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits"),
  )
    .min(1).max(2).describe(
      "SHA-256 hashes of the API keys, in hexadecimal; the keys are never stored",
    ),
  maxClass: z.enum(RequestClass).default(RequestClass.Interactive).describe(
    "Highest class that the customer may request",
  ),
  limit: limitSchema.optional().describe(
    "Limits of this customer; by default those of the service's policy",
  ),
});
export type Customer = z.infer<typeof customerSchema>;

/** The object type of each kind. */
export interface ObjectByKind {
  [ObjectKind.Service]: Service;
  [ObjectKind.Pool]: Pool;
  [ObjectKind.Policy]: Policy;
  [ObjectKind.Customer]: Customer;
}

/** An object with its version; versions start at 1 and increase by 1. */
export interface Versioned<T> {
  version: number;
  object: T;
}
