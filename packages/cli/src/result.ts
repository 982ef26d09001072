/** Results that commands return for printing. */
import { ExitCode } from "./exit_code.ts";
import type { Table } from "./table.ts";

/** The result of a command. */
export interface CommandResult {
  exitCode: ExitCode;
  /** The document that `--output json` prints; absent if nothing was read. */
  document?: unknown;
  /** The document in human-readable form. */
  tables?: Table[];
  /** What failed and how to correct it; printed to standard error. */
  message?: string;
}

/** A result with only an error message. */
export function failure(exitCode: ExitCode, message: string): CommandResult {
  return { exitCode, message };
}

/** A successful result with a document to print. */
export function success(document: unknown, ...tables: Table[]): CommandResult {
  return { exitCode: ExitCode.Ok, document, tables };
}
