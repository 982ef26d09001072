/** Arguments shared by several commands. */
import { ObjectKind } from "@sassafrascleat/config";
import { oneOf, option, optional, positional, string } from "cmd-ts";
import { ENDPOINT_VARIABLE, SECRET_VARIABLE } from "./constants.ts";
import { OutputFormat } from "./output.ts";

/** Output format of the result. */
export const outputArgs = {
  output: option({
    long: "output",
    short: "o",
    type: oneOf(Object.values(OutputFormat)),
    defaultValue: () => OutputFormat.Table,
    description: "json or table",
  }),
};

/** The daemon to call and the secret that authenticates the operator. */
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
