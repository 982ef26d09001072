/** Options of the HTTP client of the store. */
import type { Secret } from "@sassafrascleat/runtime";
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECTIONS,
  READ_TIMEOUT_MS,
  WRITE_TIMEOUT_MS,
} from "./constants.ts";

/** Options of the HTTP client as the settings give them. */
export interface HttpStoreOptions {
  /** Base address of the object API, `http://ip:port`. */
  baseUrl: string;
  /** Time to the answer of a read, in milliseconds. @default 1000 */
  timeoutMs?: number;
  /** Time to the answer of a write, in milliseconds. @default 1500 */
  writeTimeoutMs?: number;
  /** Time to open a connection, in milliseconds. @default 1000 */
  connectTimeoutMs?: number;
  /** Connections that are opened at most. @default 16 */
  maxConnections?: number;
  /** Bearer secret of the platform's API. @default none */
  secret?: Secret;
}

/** Options with every default in place. */
export interface ResolvedHttpStoreOptions
  extends Required<Omit<HttpStoreOptions, "secret">> {
  secret: Secret | undefined;
}

/** Applies the defaults. */
export function resolveHttpStoreOptions(
  raw: HttpStoreOptions,
): ResolvedHttpStoreOptions {
  return {
    baseUrl: raw.baseUrl,
    timeoutMs: raw.timeoutMs ?? READ_TIMEOUT_MS,
    writeTimeoutMs: raw.writeTimeoutMs ?? WRITE_TIMEOUT_MS,
    connectTimeoutMs: raw.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    maxConnections: raw.maxConnections ?? MAX_CONNECTIONS,
    secret: raw.secret,
  };
}
