/** Resolves the daemon's endpoint and the operator secret. */
import { errorMessage, Secret } from "@sassafrascleat/runtime";
import { readFile } from "node:fs/promises";
import { ENDPOINT_VARIABLE, SECRET_VARIABLE } from "./constants.ts";
import { OperatorClient } from "./operator_client.ts";

/** Options of every command that calls a daemon. */
export interface ConnectionOptions {
  endpoint: string | undefined;
  secretEnv: string | undefined;
  secretFile: string | undefined;
}

/** A client, or a message that names the option to correct. */
export type ConnectionResult =
  | { ok: true; client: OperatorClient }
  | { ok: false; message: string };

function connectionFailure(message: string): ConnectionResult {
  return { ok: false, message };
}

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  return ["http:", "https:"].includes(new URL(text).protocol);
}

async function readSecretFile(
  path: string,
): Promise<ConnectionResult | string> {
  try {
    return (await readFile(path, "utf8")).trim();
  } catch (err) {
    return connectionFailure(
      `--secret-file can't be read: ${errorMessage(err)}`,
    );
  }
}

/**
 * Creates a client. The secret is read from a file or an environment variable,
 * never from the command line.
 */
export async function connect(
  options: ConnectionOptions,
  env: NodeJS.ProcessEnv = process.env,
): Promise<ConnectionResult> {
  const endpoint = options.endpoint ?? env[ENDPOINT_VARIABLE];
  if (!endpoint || !isHttpUrl(endpoint)) {
    return connectionFailure(
      `set --endpoint or ${ENDPOINT_VARIABLE} to an entry's operator ` +
        "listener, for example http://10.0.0.5:7100",
    );
  }
  if (options.secretFile !== undefined) {
    const read = await readSecretFile(options.secretFile);
    if (typeof read !== "string") return read;
    if (read === "") {
      return connectionFailure("the file given by --secret-file is empty");
    }
    return { ok: true, client: toClient(endpoint, read) };
  }
  const variable = options.secretEnv ?? SECRET_VARIABLE;
  const value = env[variable];
  if (!value) {
    return connectionFailure(
      `put an operator secret into the environment variable ${variable}, or ` +
        "name another variable with --secret-env or a file with --secret-file",
    );
  }
  return { ok: true, client: toClient(endpoint, value) };
}

function toClient(endpoint: string, value: string): OperatorClient {
  return new OperatorClient(endpoint, new Secret("operator", value));
}
