/** `validate`: checks change documents locally or at a daemon. */
import {
  ChangeAction,
  type ChangeDocument,
  formatIssues,
  type Issue,
  validateObject,
  type ValidateReply,
} from "@sassafrascleat/config";
import { command, flag, positional, string } from "cmd-ts";
import { toCommandResult } from "../call_result.ts";
import { connectionArgs } from "../common_args.ts";
import { ExitCode } from "../exit_code.ts";
import type { OperatorClient } from "../operator_client.ts";
import { printResult } from "../output.ts";
import { readChanges } from "../read_changes.ts";
import { type CommandResult, failure } from "../result.ts";
import { runCommand } from "../run_command.ts";

/** Result of checking one change. */
interface CheckedChange {
  kind: string;
  name: string;
  valid: boolean;
  issues: Issue[];
  message?: string;
}

function nameOf(change: ChangeDocument): string {
  return change.action === ChangeAction.Create
    ? change.object.name
    : change.name;
}

/** Checks without a daemon; only a create contains a whole object to check. */
function checkLocally(change: ChangeDocument): CheckedChange {
  const subject = { kind: change.kind, name: nameOf(change) };
  if (change.action !== ChangeAction.Create) {
    return { ...subject, valid: true, issues: [] };
  }
  const result = validateObject(change.kind, change.object);
  const issues = result.valid ? [] : result.issues;
  return { ...subject, valid: result.valid, issues };
}

function checkedFromReply(
  change: ChangeDocument,
  reply: ValidateReply,
): CheckedChange {
  const { valid, issues, currentVersion } = reply;
  const name = nameOf(change);
  const message = currentVersion === undefined
    ? undefined
    : `${change.kind} ${name} is at version ${currentVersion}`;
  return { kind: change.kind, name, valid, issues, message };
}

function toResult(checked: readonly CheckedChange[]): CommandResult {
  const invalid = checked.filter((item) => !item.valid);
  const lines = invalid.map(({ kind, name, issues, message }) =>
    `${kind} ${name} is not valid:\n${message ?? formatIssues(issues)}`
  );
  const rows = checked.map(({ kind, name, valid }) => [
    kind,
    name,
    valid ? "valid" : "not valid",
  ]);
  return {
    exitCode: invalid.length > 0 ? ExitCode.Invalid : ExitCode.Ok,
    document: checked,
    tables: [{ header: ["kind", "name", "result"], rows }],
    message: lines.length > 0 ? lines.join("\n") : undefined,
  };
}

async function checkRemotely(
  client: OperatorClient,
  changes: readonly ChangeDocument[],
): Promise<CommandResult> {
  const checked: CheckedChange[] = [];
  for (const change of changes) {
    const answer = await client.post("/v1/validate", { change });
    const result = toCommandResult(answer, (body) => {
      checked.push(checkedFromReply(change, body as ValidateReply));
      return { exitCode: ExitCode.Ok };
    });
    if (result.exitCode !== ExitCode.Ok) return result;
  }
  return toResult(checked);
}

export const validateCommand = command({
  name: "validate",
  description: "check change documents without changing anything",
  args: {
    ...connectionArgs,
    file: positional({
      displayName: "file",
      type: string,
      description: "change document or list of them; - is standard input",
    }),
    remote: flag({
      long: "remote",
      description: "also check versions and references at a daemon",
    }),
  },
  handler: async (args) => {
    const read = await readChanges(args.file);
    if (!read.ok) {
      return printResult(failure(ExitCode.Usage, read.message), args.output);
    }
    const { changes } = read;
    if (!args.remote) {
      return printResult(toResult(changes.map(checkLocally)), args.output);
    }
    await runCommand(args, (client) => checkRemotely(client, changes));
  },
});
