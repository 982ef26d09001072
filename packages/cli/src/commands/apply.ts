/** `apply`: proposes changes to objects at given base versions. */
import { command, option, optional, positional, string } from "cmd-ts";
import { randomUUID } from "node:crypto";
import { applyChanges } from "../apply_changes.ts";
import { connectionArgs } from "../common_args.ts";
import { ExitCode } from "../exit_code.ts";
import { printResult } from "../output.ts";
import { readChanges } from "../read_changes.ts";
import { failure } from "../result.ts";
import { runCommand } from "../run_command.ts";

export const applyCommand = command({
  name: "apply",
  description: "create, patch or delete objects by change documents",
  args: {
    ...connectionArgs,
    file: positional({
      displayName: "file",
      type: string,
      description: "change document or list of them; - is standard input",
    }),
    patchId: option({
      long: "patch-id",
      type: optional(string),
      description: "patch id of an earlier call whose outcome is unknown",
    }),
  },
  handler: async (args) => {
    const read = await readChanges(args.file);
    if (!read.ok) {
      return printResult(failure(ExitCode.Usage, read.message), args.output);
    }
    const { changes, isList } = read;
    const patchId = args.patchId ?? randomUUID();
    process.stderr.write(`patch id: ${patchId}\n`);
    const repeated = args.patchId !== undefined;
    await runCommand(
      args,
      (client) => applyChanges(client, { changes, isList, patchId, repeated }),
    );
  },
});
