/**
 * The settings file of the daemon: one JSON document, checked as a whole, so
 * that every error is reported at once. The schema here is the single source
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

/** Role of a daemon process. */
export enum DaemonRole {
  Entry = "entry",
  Sidecar = "sidecar",
  Dev = "dev",
}

const listenSchema = z.strictObject({
  host: z.string().default(DEFAULT_LISTEN_HOST)
    .describe("IP address to bind"),
  port: z.number().int().min(0).max(65_535)
    .describe("TCP port; 0 selects a free port"),
});

const baseUrlSchema = z.string().regex(
  /^http:\/\/[^/]+$/,
  "http://address:port without a path",
);

const secretRefSchema = z.strictObject({
  name: z.string().min(1)
    .describe(
      "Name of the secret in logs and the audit trail, never its value",
    ),
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
  $schema: z.string().optional().describe(
    "Reference to the JSON Schema, for editors; ignored",
  ),
  id: z.string().min(1).max(64)
    .describe("Unique name of this process in its deployment"),
  office: z.string().min(1).describe("Office that this process runs in"),
  availabilityZone: z.string().min(1)
    .describe("Availability zone that this process runs in"),
  drainTimeoutMs: z.number().int().min(0).default(DEFAULT_DRAIN_TIMEOUT_MS)
    .describe("Maximum duration of a graceful stop, in milliseconds"),
};

const storeSchema = z.strictObject({
  baseUrl: baseUrlSchema.describe("Base address of the platform's object API"),
  timeoutMs: z.number().int().min(1).default(2_000)
    .describe(
      "Timeout of a read from the store, in milliseconds; a write has 1,500",
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
    id: z.string().min(1).describe("`id` of the peer"),
    office: z.string().min(1).describe("Office of the peer"),
    availabilityZone: z.string().min(1).describe(
      "Availability zone of the peer",
    ),
    address: baseUrlSchema.describe("System listener of the peer"),
  })).default([]).describe(
    "Other entries that take part in the configuration relay",
  ),
  hostRefreshMs: z.number().int().min(50).default(DEFAULT_HOST_REFRESH_MS)
    .describe("Interval between reads of the host list, in milliseconds"),
  subsetSize: z.number().int().min(1).default(DEFAULT_SUBSET_SIZE)
    .describe(
      "Maximum number of backend servers per pool that this entry uses",
    ),
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
    name: z.string().min(1).describe(
      "Name of the backend server in the host list",
    ),
    pool: z.string().min(1).describe("Pool of the backend server"),
    role: z.enum(BackendRole).describe("Role of the backend server"),
    baseUrl: baseUrlSchema.describe("Base address of the backend server"),
    engineAddress: baseUrlSchema.optional()
      .describe(
        "Address at which other engines fetch KV cache; default baseUrl",
      ),
    advertise: baseUrlSchema.optional()
      .describe("Address at which entries reach this process"),
  }).describe("The backend server that this sidecar serves"),
  maxRunning: z.number().int().min(1).default(20)
    .describe(
      "Maximum number of requests that the backend server runs at once",
    ),
  tbtTargetMs: z.number().positive().default(43)
    .describe(
      "Target time between tokens, in milliseconds; limits the batch size",
    ),
});

export const devSettingsSchema = z.strictObject({
  $schema: z.string().optional().describe(
    "Reference to the JSON Schema, for editors; ignored",
  ),
  role: z.literal(DaemonRole.Dev)
    .describe(
      "Runs a demo deployment with simulated backend servers in one process",
    ),
  basePort: z.number().int().min(0).max(60_000).default(0)
    .describe("First TCP port; 0 selects free ports"),
  seed: z.number().int().default(1).describe(
    "Random seed of the simulated engines",
  ),
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
