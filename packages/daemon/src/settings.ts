/**
 * The settings file of the daemon: one JSON document, checked as a whole, so
 * that every mistake is reported at once. The schema here is the single source
 * of `settings.schema.json`, of the defaults and of docs/CONFIG.md.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { PolicyName } from "@sassafrascleat/routing";
import { z } from "zod";
import {
  DEFAULT_DRAIN_TIMEOUT_MS,
  DEFAULT_HOST_REFRESH_MS,
  DEFAULT_LISTEN_HOST,
  DEFAULT_SUBSET_SIZE,
} from "./constants.ts";

/** What a daemon process does. */
export enum DaemonRole {
  Entry = "entry",
  Sidecar = "sidecar",
  Dev = "dev",
}

const listenSchema = z.strictObject({
  host: z.string().default(DEFAULT_LISTEN_HOST)
    .describe("IP address to bind"),
  port: z.number().int().min(0).max(65_535)
    .describe("TCP port; 0 takes any free one"),
});

const baseUrlSchema = z.string().regex(
  /^http:\/\/[^/]+$/,
  "http://address:port without a path",
);

const secretRefSchema = z.strictObject({
  name: z.string().min(1)
    .describe("Name in the audit trail and in logs; never the value"),
  env: z.string().min(1).optional()
    .describe("Environment variable that holds the secret"),
  file: z.string().min(1).optional()
    .describe("File that holds the secret"),
}).refine(
  (ref) => (ref.env === undefined) !== (ref.file === undefined),
  "exactly one of env and file",
);
/** Where one secret comes from. */
export type SecretRef = z.infer<typeof secretRefSchema>;

const systemSecretsSchema = z.array(secretRefSchema).min(1).max(2).describe(
  "Secrets of calls between daemons: the first is sent, all are accepted",
);

const commonFields = {
  $schema: z.string().optional().describe("For editors; not read"),
  id: z.string().min(1).max(64)
    .describe("Unique name of this process in its deployment"),
  office: z.string().min(1).describe("Office that this process runs in"),
  availabilityZone: z.string().min(1)
    .describe("Availability zone that this process runs in"),
  drainTimeoutMs: z.number().int().min(0).default(DEFAULT_DRAIN_TIMEOUT_MS)
    .describe("Longest graceful stop, in milliseconds"),
};

const storeSchema = z.strictObject({
  baseUrl: baseUrlSchema.describe("Base address of the platform's object API"),
  timeoutMs: z.number().int().min(1).default(2_000)
    .describe(
      "Time for one read of the store, in milliseconds; a write has 1,500",
    ),
}).describe("The platform's object API");

export const entrySettingsSchema = z.strictObject({
  ...commonFields,
  role: z.literal(DaemonRole.Entry)
    .describe("Serves callers and operators, on an entry host"),
  callers: listenSchema.describe("Listener for callers"),
  operators: listenSchema.describe("Listener for operators"),
  system: listenSchema.describe("Listener for the system's own processes"),
  systemSecrets: systemSecretsSchema,
  operatorSecrets: z.array(secretRefSchema).min(1)
    .describe("Secrets of operators; the name goes into the audit trail"),
  store: storeSchema,
  hostsBaseUrl: baseUrlSchema
    .describe("Base address of the platform's list of hosts"),
  peers: z.array(z.strictObject({
    id: z.string().min(1).describe("Its `id`"),
    office: z.string().min(1).describe("Its office"),
    availabilityZone: z.string().min(1).describe("Its availability zone"),
    address: baseUrlSchema.describe("System listener of the peer"),
  })).default([]).describe("Other entries, for the configuration relay"),
  hostRefreshMs: z.number().int().min(50).default(DEFAULT_HOST_REFRESH_MS)
    .describe("Interval between reads of the host list, in milliseconds"),
  subsetSize: z.number().int().min(1).default(DEFAULT_SUBSET_SIZE)
    .describe("Backend servers of a pool that this entry talks to"),
  placement: z.enum(PolicyName).default(PolicyName.JustInTime)
    .describe("Name of the placement policy"),
});

export const sidecarSettingsSchema = z.strictObject({
  ...commonFields,
  role: z.literal(DaemonRole.Sidecar)
    .describe("Runs beside one backend server"),
  system: listenSchema.describe("Listener for the system's own processes"),
  systemSecrets: systemSecretsSchema,
  backendServer: z.strictObject({
    name: z.string().min(1).describe("Its name in the host list"),
    pool: z.string().min(1).describe("Pool that it belongs to"),
    role: z.enum(BackendRole).describe("What it does"),
    baseUrl: baseUrlSchema.describe("Address of the backend server beside"),
    engineAddress: baseUrlSchema.optional()
      .describe(
        "Address at which other engines fetch KV cache; default baseUrl",
      ),
    advertise: baseUrlSchema.optional()
      .describe("Address at which entries reach this process"),
  }).describe("The backend server beside this process"),
  maxRunning: z.number().int().min(1).default(20)
    .describe("Requests that the backend server runs at once"),
  tbtTargetMs: z.number().positive().default(43)
    .describe("Target between tokens that bounds the batch, in milliseconds"),
});

export const devSettingsSchema = z.strictObject({
  $schema: z.string().optional().describe("For editors; not read"),
  role: z.literal(DaemonRole.Dev)
    .describe("Runs the whole product with stand-ins in one process"),
  basePort: z.number().int().min(0).max(60_000).default(0)
    .describe("First TCP port; 0 takes any free ones"),
  seed: z.number().int().default(1).describe("Seed of the stand-ins"),
});

export const settingsSchema = z.discriminatedUnion("role", [
  entrySettingsSchema,
  sidecarSettingsSchema,
  devSettingsSchema,
]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
export type DevSettings = z.infer<typeof devSettingsSchema>;
/** A checked settings file with all defaults filled in. */
export type ResolvedSettings = z.infer<typeof settingsSchema>;

/** The JSON Schema of the settings file, for editors. */
export function settingsJsonSchema(): unknown {
  return z.toJSONSchema(settingsSchema, { io: "input" });
}
