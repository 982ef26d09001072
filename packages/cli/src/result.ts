/** What a command hands back for printing. */
import { ExitCode } from "./exit_code.ts";
import type { Table } from "./table.ts";

/** The result of a command. */
export interface CommandResult {
  exitCode: ExitCode;
  /** The document that `--output json` prints; none when nothing was read. */
  document?: unknown;
  /** The same for people. */
  tables?: Table[];
  /** What went wrong and what to change, for the error output. */
  message?: string;
}

/** A result that only tells what went wrong. */
export function failure(exitCode: ExitCode, message: string): CommandResult {
  return { exitCode, message };
}

/** A result that shows a document. */
export function shown(document: unknown, ...tables: Table[]): CommandResult {
  return { exitCode: ExitCode.Ok, document, tables };
}
