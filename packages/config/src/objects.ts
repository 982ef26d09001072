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
  method: z.enum(["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"]),
  /** Path below the service, matched as a prefix of whole segments. */
  path: z.string().startsWith("/"),
});

export const modelServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Model),
  name: nameSchema,
  /** The office whose pools serve it. */
  office: nameSchema,
  /** Model name in the callers' API. */
  model: z.string().min(1),
  prefillPool: nameSchema,
  decodePool: nameSchema,
  policy: nameSchema,
  /** Longest prompt, in tokens. @default 60000 */
  maxPromptTokens: z.number().int().min(1).default(60_000),
  /** Longest answer, in tokens. @default 4096 */
  maxOutputTokens: z.number().int().min(1).default(4_096),
  /** Output tokens of a request that names none. @default 256 */
  defaultOutputTokens: z.number().int().min(1).default(256),
});

export const plainServiceSchema = z.strictObject({
  kind: z.literal(ServiceKind.Plain),
  name: nameSchema,
  office: nameSchema,
  pool: nameSchema,
  policy: nameSchema,
  /** Calls that may be repeated; every other call runs at most once. @default [] */
  repeatable: z.array(repeatableRouteSchema).default([]),
  /** Time for one call's answer, in milliseconds. @default 5000 */
  timeoutMs: z.number().int().min(1).default(5_000),
});

export const serviceSchema = z.discriminatedUnion("kind", [
  modelServiceSchema,
  plainServiceSchema,
]);
export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainServiceConfig = z.infer<typeof plainServiceSchema>;
export type Service = z.infer<typeof serviceSchema>;

export const poolSchema = z.strictObject({
  name: nameSchema,
  office: nameSchema,
  role: z.enum(BackendRole),
  /** Model that the pool's engines should have loaded. @default "" */
  model: z.string().default(""),
  /** @default "" */
  modelVersion: z.string().default(""),
  /** Adapters that the pool's engines should have loaded. @default [] */
  adapters: z.array(z.string().min(1)).default([]),
  /** Engines of the pool that may load weights at once. @default 1 */
  maxConcurrentLoads: z.number().int().min(1).default(1),
});
export type Pool = z.infer<typeof poolSchema>;

const limitSchema = z.strictObject({
  /** Sustained requests a second of one customer. @default 1000 */
  requestsPerSecond: z.number().positive().default(1_000),
  /** Requests that may come at once. @default 200 */
  burst: z.number().int().min(1).default(200),
  /** Requests in progress at one entry. @default 500 */
  concurrent: z.number().int().min(1).default(500),
});
export type CustomerLimit = z.infer<typeof limitSchema>;

export const policySchema = z.strictObject({
  name: nameSchema,
  /** @default "goodput" */
  objective: z.enum(RoutingObjective).default(RoutingObjective.Goodput),
  /** Target time to the first token, in milliseconds. @default 570 */
  ttftTargetMs: z.number().positive().default(570),
  /** Target time between tokens, in milliseconds. @default 43 */
  tbtTargetMs: z.number().positive().default(43),
  /** Longest time that a request may take in all, in milliseconds. @default 120000 */
  requestTimeoutMs: z.number().positive().default(120_000),
  /** Longest time in the queue before a request is refused, in milliseconds. @default 10000 */
  maxQueueMs: z.number().positive().default(10_000),
  /** Requests that may wait at one entry. @default 400 */
  maxQueueLength: z.number().int().min(1).default(400),
  /** Attempts of one request, the first included. @default 4 */
  maxAttempts: z.number().int().min(1).max(16).default(4),
  /** Retries allowed for each new request, as a share. @default 0.15 */
  retryBudgetRatio: z.number().min(0).max(1).default(0.15),
  /** Refuse callers without a known API key. @default false */
  requireApiKey: z.boolean().default(false),
  /** Class of a request that names none. @default "standard" */
  defaultClass: z.enum(RequestClass).default(RequestClass.Standard),
  /** Limits of a customer that has none of its own. */
  limit: limitSchema.prefault({}),
});
export type Policy = z.infer<typeof policySchema>;

export const customerSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the API key, in hexadecimal; the key itself is never stored. */
  keySha256: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits"),
  )
    .min(1).max(2),
  /** Highest class that the customer may ask for. @default "interactive" */
  maxClass: z.enum(RequestClass).default(RequestClass.Interactive),
  limit: limitSchema.optional(),
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
