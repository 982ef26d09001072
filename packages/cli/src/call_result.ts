/** Converts responses of the operator API into command results. */
import {
  formatIssues,
  type OperatorError,
  OperatorErrorCode,
} from "@sassafrascleat/config";
import { ExitCode } from "./exit_code.ts";
import { CallKind, type CallResult, errorCode } from "./operator_client.ts";
import { type CommandResult, failure } from "./result.ts";

const EXIT_CODES: Record<OperatorErrorCode, ExitCode> = {
  [OperatorErrorCode.BadRequest]: ExitCode.Usage,
  [OperatorErrorCode.NotAuthorized]: ExitCode.NotAuthorized,
  [OperatorErrorCode.NotFound]: ExitCode.NotFound,
  [OperatorErrorCode.Unavailable]: ExitCode.NotRun,
  [OperatorErrorCode.Internal]: ExitCode.Internal,
};

/** The result of a response with an error body; undefined for other bodies. */
export function errorResult(body: unknown): CommandResult | undefined {
  const code = errorCode(body);
  if (code === undefined) return undefined;
  const error = body as OperatorError;
  const issues = error.issues ? `\n${formatIssues(error.issues)}` : "";
  return failure(EXIT_CODES[code], error.message + issues);
}

/** Converts the body of a successful call, or reports why the call failed. */
export function toCommandResult(
  result: CallResult,
  toSuccess: (body: unknown) => CommandResult,
): CommandResult {
  if (result.kind !== CallKind.Answered) {
    const message = `${result.message}; check --endpoint, or try another entry`;
    return failure(ExitCode.NotRun, message);
  }
  if (result.status === 200) return toSuccess(result.body);
  return errorResult(result.body) ?? failure(
    ExitCode.Internal,
    `the response has status ${result.status}; check that --endpoint is an ` +
      "entry's operator listener",
  );
}
