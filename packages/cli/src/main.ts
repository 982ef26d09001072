#!/usr/bin/env node
/** The `sassafrascleat` program. */
import { errorMessage } from "@sassafrascleat/runtime";
import { runSafely, subcommands } from "cmd-ts";
import { applyCommand } from "./commands/apply.ts";
import { explainCommand, requestsCommand } from "./commands/log.ts";
import { historyCommand } from "./commands/history.ts";
import { getCommand, listCommand } from "./commands/objects.ts";
import { drainCommand, statusCommand } from "./commands/status.ts";
import { validateCommand } from "./commands/validate.ts";
import { ExitCode } from "./exit_code.ts";

const program = subcommands({
  name: "sassafrascleat",
  description:
    "changes and reads the configuration of a deployment, and reads its logs",
  version: "0.1.0",
  cmds: {
    apply: applyCommand,
    get: getCommand,
    list: listCommand,
    history: historyCommand,
    status: statusCommand,
    drain: drainCommand,
    validate: validateCommand,
    requests: requestsCommand,
    explain: explainCommand,
  },
});

/** Runs the program; usage errors set `ExitCode.Usage`. */
async function main(args: string[]): Promise<void> {
  const result = await runSafely(program, args);
  if (result._tag === "ok") return;
  const { message, into, exitCode } = result.error.config;
  process[into].write(`${message}\n`);
  process.exitCode = exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
}

main(process.argv.slice(2)).catch((err) => {
  process.stderr.write(`internal error: ${errorMessage(err)}\n`);
  process.exitCode = ExitCode.Internal;
});
