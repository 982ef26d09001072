/** Options of the HTTP store client and their defaults. */
import type { Secret } from "@sassafrascleat/runtime";
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECTIONS,
  READ_TIMEOUT_MS,
  WRITE_TIMEOUT_MS,
} from "./constants.ts";

/** Options of the HTTP store client as read from the settings. */
export interface HttpStoreOptions {
  /** Base address of the object API, `http://ip:port`. */
  baseUrl: string;
  /** Timeout of a read, in milliseconds. @default 1000 */
  timeoutMs?: number;
  /** Timeout of a write, in milliseconds. @default 1500 */
  writeTimeoutMs?: number;
  /** Timeout for opening a connection, in milliseconds. @default 1000 */
  connectTimeoutMs?: number;
  /** Maximum number of connections. @default 16 */
  maxConnections?: number;
  /** Bearer token for the platform's API. @default none */
  secret?: Secret;
}

/** `HttpStoreOptions` with all defaults applied. */
export interface ResolvedHttpStoreOptions
  extends Required<Omit<HttpStoreOptions, "secret">> {
  secret: Secret | undefined;
}

/** Applies the defaults to `raw`. */
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
