/** Runs a command that calls a daemon, and prints its result. */
import { connect, type ConnectionOptions } from "./connection.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorClient } from "./operator_client.ts";
import { type OutputFormat, printResult } from "./output.ts";
import { type CommandResult, failure } from "./result.ts";

/** Options of a command that calls a daemon. */
export interface CommandOptions extends ConnectionOptions {
  output: OutputFormat;
}

/** Creates a client, runs `execute` and prints its result. */
export async function runCommand(
  options: CommandOptions,
  execute: (client: OperatorClient) => Promise<CommandResult>,
): Promise<void> {
  const connection = await connect(options);
  const result = connection.ok
    ? await execute(connection.client)
    : failure(ExitCode.Usage, connection.message);
  printResult(result, options.output);
}
