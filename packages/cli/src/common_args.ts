/** Arguments that several commands take. */
import { ObjectKind } from "@sassafrascleat/config";
import { oneOf, option, optional, positional, string } from "cmd-ts";
import { ENDPOINT_VARIABLE, SECRET_VARIABLE } from "./constants.ts";
import { OutputFormat } from "./output.ts";

/** How the result is printed. */
export const outputArgs = {
  output: option({
    long: "output",
    short: "o",
    type: oneOf(Object.values(OutputFormat)),
    defaultValue: () => OutputFormat.Table,
    description: "json or table",
  }),
};

/** Which daemon is asked and with which secret. */
export const connectionArgs = {
  ...outputArgs,
  endpoint: option({
    long: "endpoint",
    type: optional(string),
    description:
      `address of an entry's operator listener [env: ${ENDPOINT_VARIABLE}]`,
  }),
  secretEnv: option({
    long: "secret-env",
    type: optional(string),
    description:
      `name of the environment variable with the secret [${SECRET_VARIABLE}]`,
  }),
  secretFile: option({
    long: "secret-file",
    type: optional(string),
    description: "file that holds the secret",
  }),
};

/** The kind of an object. */
export const kindArg = positional({
  displayName: "kind",
  type: oneOf(Object.values(ObjectKind)),
  description: Object.values(ObjectKind).join(", "),
});
