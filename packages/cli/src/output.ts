/** Prints documents and tables to standard output, messages to standard error. */
import type { CommandResult } from "./result.ts";
import { formatTable } from "./table.ts";

/** Output formats. */
export enum OutputFormat {
  Json = "json",
  Table = "table",
}

/** Prints a result and sets the exit code of the process. */
export function printResult(result: CommandResult, format: OutputFormat): void {
  const { document, tables = [], message } = result;
  if (format === OutputFormat.Json && document !== undefined) {
    process.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
  }
  if (format === OutputFormat.Table && tables.length > 0) {
    process.stdout.write(`${tables.map(formatTable).join("\n\n")}\n`);
  }
  if (message) process.stderr.write(`${message}\n`);
  process.exitCode = result.exitCode;
}
