/**
 * The configuration objects that operators own: services, pools, routing
 * policies and customers. Defaults are applied by the schemas, so that a
 * resolved object has every field.
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

/** What a routing policy puts first when the two measures pull apart. */
export enum RoutingObjective {
  /** Most requests within both latency targets. */
  Goodput = "goodput",
  /** Least prefill work whose result nobody receives. */
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

/** Calls of a plain service that may be repeated. */
export const repeatableRouteSchema = z.strictObject({
  method: z.enum(["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"]).describe(
    "HTTP method",
  ),
  path: z.string().startsWith("/").describe(
    "Path below the service, matched as a prefix of whole segments",
  ),
});

export const modelServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Model).describe("What the service is"),
  name: nameSchema.describe("Unique name of the service"),
  office: nameSchema.describe("Office whose pools serve it"),
  model: z.string().min(1).describe("Model name in the callers' API"),
  prefillPool: nameSchema.describe("Pool of the engines that prefill"),
  decodePool: nameSchema.describe("Pool of the engines that decode"),
  policy: nameSchema.describe("Routing policy of its requests"),
  maxPromptTokens: z.number().int().min(1).default(60_000).describe(
    "Longest prompt, in tokens",
  ),
  maxOutputTokens: z.number().int().min(1).default(4_096).describe(
    "Longest answer, in tokens",
  ),
  defaultOutputTokens: z.number().int().min(1).default(256).describe(
    "Output tokens of a request that names none",
  ),
});

export const plainServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Plain).describe("What the service is"),
  name: nameSchema.describe(
    "Unique name of the service, a part of its address",
  ),
  office: nameSchema.describe("Office whose pool serves it"),
  pool: nameSchema.describe("Pool of its backend servers"),
  policy: nameSchema.describe("Routing policy of its calls"),
  repeatable: z.array(repeatableRouteSchema).default([]).describe(
    "Calls that may be repeated; every other call runs at most once",
  ),
  timeoutMs: z.number().int().min(1).default(5_000).describe(
    "Time for one call's answer, in milliseconds",
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
  office: nameSchema.describe("Office of its backend servers"),
  role: z.enum(BackendRole).describe("What its backend servers do"),
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
    "Sustained requests a second of one customer at one entry",
  ),
  burst: z.number().int().min(1).default(200).describe(
    "Requests that may come at once",
  ),
  concurrent: z.number().int().min(1).default(500).describe(
    "Requests in progress at one entry",
  ),
});
export type CustomerLimit = z.infer<typeof limitSchema>;

export const policySchema = z.strictObject({
  name: nameSchema.describe("Unique name of the policy"),
  objective: z.enum(RoutingObjective).default(RoutingObjective.Goodput)
    .describe("What goes first when goodput and wasted prefill pull apart"),
  ttftTargetMs: z.number().positive().default(570).describe(
    "Target time to the first token, in milliseconds",
  ),
  tbtTargetMs: z.number().positive().default(43).describe(
    "Target time between tokens, in milliseconds",
  ),
  requestTimeoutMs: z.number().positive().default(120_000).describe(
    "Longest time that a request may take in all, in milliseconds",
  ),
  maxQueueMs: z.number().positive().default(10_000).describe(
    "Longest time in the queue before a request is refused, in milliseconds",
  ),
  maxQueueLength: z.number().int().min(1).default(400).describe(
    "Requests that may wait at one entry",
  ),
  maxAttempts: z.number().int().min(1).max(16).default(4).describe(
    "Attempts of one request, the first included",
  ),
  retryBudgetRatio: z.number().min(0).max(1).default(0.15).describe(
    "Retries allowed for each new request, as a share",
  ),
  requireApiKey: z.boolean().default(false).describe(
    "Refuse callers without a known API key",
  ),
  defaultClass: z.enum(RequestClass).default(RequestClass.Standard).describe(
    "Class of a request that names none",
  ),
  limit: limitSchema.prefault({}).describe(
    "Limits of a customer that has none of its own",
  ),
});
export type Policy = z.infer<typeof policySchema>;

export const customerSchema = z.strictObject({
  name: nameSchema.describe("Unique name of the customer"),
  keySha256: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits"),
  )
    .min(1).max(2).describe(
      "SHA-256 of the API keys, in hexadecimal; a key itself is never stored",
    ),
  maxClass: z.enum(RequestClass).default(RequestClass.Interactive).describe(
    "Highest class that the customer may ask for",
  ),
  limit: limitSchema.optional().describe(
    "Limits of this customer; without it, those of the service's policy",
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

/** An object with its version; versions start at 1 and grow by 1. */
export interface Versioned<T> {
  version: number;
  object: T;
}
