/** Where the daemon is and which secret it gets. */
import { errorMessage, Secret } from "@sassafrascleat/runtime";
import { readFile } from "node:fs/promises";
import { ENDPOINT_VARIABLE, SECRET_VARIABLE } from "./constants.ts";
import { OperatorClient } from "./operator_client.ts";

/** Options that every command which asks a daemon takes. */
export interface ConnectionOptions {
  endpoint: string | undefined;
  secretEnv: string | undefined;
  secretFile: string | undefined;
}

/** A client, or what to change to get one. */
export type Connection =
  | { ok: true; client: OperatorClient }
  | { ok: false; message: string };

function refuse(message: string): Connection {
  return { ok: false, message };
}

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  return ["http:", "https:"].includes(new URL(text).protocol);
}

async function readSecretFile(path: string): Promise<Connection | string> {
  try {
    return (await readFile(path, "utf8")).trim();
  } catch (err) {
    return refuse(`--secret-file can't be read: ${errorMessage(err)}`);
  }
}

/** Reads the secret and makes a client; the secret is never an argument. */
export async function connect(
  options: ConnectionOptions,
  env: NodeJS.ProcessEnv = process.env,
): Promise<Connection> {
  const endpoint = options.endpoint ?? env[ENDPOINT_VARIABLE];
  if (!endpoint || !isHttpUrl(endpoint)) {
    return refuse(
      `set --endpoint or ${ENDPOINT_VARIABLE} to an entry's operator ` +
        "listener, for example http://10.0.0.5:7100",
    );
  }
  if (options.secretFile !== undefined) {
    const read = await readSecretFile(options.secretFile);
    if (typeof read !== "string") return read;
    if (read === "") return refuse("the file of --secret-file is empty");
    return { ok: true, client: toClient(endpoint, read) };
  }
  const variable = options.secretEnv ?? SECRET_VARIABLE;
  const value = env[variable];
  if (!value) {
    return refuse(
      `put an operator secret into the environment variable ${variable}, or ` +
        "name another one by --secret-env or a file by --secret-file",
    );
  }
  return { ok: true, client: toClient(endpoint, value) };
}

function toClient(endpoint: string, value: string): OperatorClient {
  return new OperatorClient(endpoint, new Secret("operator", value));
}
