/** Sends change documents in order and reports the outcome of each. */
import {
  type ApplyReply,
  type ChangeDocument,
  formatIssues,
  ProposeKind,
} from "@sassafrascleat/config";
import { errorResult } from "./call_result.ts";
import { ExitCode } from "./exit_code.ts";
import {
  CallKind,
  type CallResult,
  type OperatorClient,
  type UnansweredCall,
} from "./operator_client.ts";
import type { CommandResult } from "./result.ts";
import { formatCell, type Table } from "./table.ts";

/** Changes to send and their patch id. */
export interface ApplyOptions {
  changes: readonly ChangeDocument[];
  /**
   * Whether the file holds a list; the position of each change is then appended
   * to its patch id.
   */
  isList: boolean;
  patchId: string;
  /** Whether the patch id was sent before and its outcome is unknown. */
  repeated: boolean;
}

/** The outcome of one change. */
interface ChangeReport {
  exitCode: ExitCode;
  message?: string;
  reply?: ApplyReply;
}

/** The outcome of one change, as `--output json` prints it. */
interface AppliedDocument {
  patchId: string;
  name: string;
  outcome: ApplyReply;
}

const EXIT_CODES: Record<ProposeKind, ExitCode> = {
  [ProposeKind.Accepted]: ExitCode.Ok,
  [ProposeKind.Outdated]: ExitCode.Outdated,
  [ProposeKind.Invalid]: ExitCode.Invalid,
  [ProposeKind.NotRun]: ExitCode.NotRun,
  [ProposeKind.Unknown]: ExitCode.Unknown,
};

function nameOf(change: ChangeDocument): string {
  return "object" in change ? change.object.name : change.name;
}

/** The message to the operator about a change that was not accepted. */
function adviceFor(
  reply: ApplyReply,
  change: ChangeDocument,
): string | undefined {
  const subject = `${change.kind} ${nameOf(change)}`;
  switch (reply.kind) {
    case ProposeKind.Accepted:
      return undefined;
    case ProposeKind.Outdated:
      return reply.currentVersion === 0
        ? `${subject} does not exist; create it first`
        : `${subject} is at version ${reply.currentVersion}; read it, build ` +
          "the change on that version and apply it under a new patch id";
    case ProposeKind.Invalid:
      return `${subject} would not be valid:\n${formatIssues(reply.issues)}`;
    case ProposeKind.NotRun:
    case ProposeKind.Unknown:
      return reply.message;
  }
}

function isApplyReply(body: unknown): body is ApplyReply {
  const kind = (body as { kind?: unknown } | null)?.kind;
  return Object.values<unknown>(ProposeKind).includes(kind);
}

/** Reports a change that may or may not have been accepted. */
function unknownOutcome(message: string): ChangeReport {
  const text = `${message}; the change may have been accepted; repeat the ` +
    "command with the same --patch-id";
  return { exitCode: ExitCode.Unknown, message: text };
}

/** Reports a call without a response. */
function reportUnanswered(
  result: UnansweredCall,
  repeated: boolean,
): ChangeReport {
  if (repeated || result.kind === CallKind.NoAnswer) {
    return unknownOutcome(result.message);
  }
  const message = `${result.message}; nothing was sent, check --endpoint`;
  return { exitCode: ExitCode.NotRun, message };
}

function toChangeReport(
  result: CallResult,
  change: ChangeDocument,
  repeated: boolean,
): ChangeReport {
  if (result.kind !== CallKind.Answered) {
    return reportUnanswered(result, repeated);
  }
  const { status, body } = result;
  if (isApplyReply(body)) {
    const message = adviceFor(body, change);
    return { exitCode: EXIT_CODES[body.kind], message, reply: body };
  }
  const error = status < 500 ? errorResult(body) : undefined;
  return error ?? unknownOutcome(`the response has status ${status}`);
}

function toTable(documents: readonly AppliedDocument[]): Table {
  const header = ["patch id", "name", "outcome", "sequence", "version"];
  const rows = documents.map(({ patchId, name, outcome }) => {
    const accepted = outcome.kind === ProposeKind.Accepted;
    const sequence = accepted ? formatCell(outcome.sequence) : "";
    const version = accepted ? formatCell(outcome.version) : "";
    return [patchId, name, outcome.kind, sequence, version];
  });
  return { header, rows };
}

/** Sends the changes in order and stops at the first that is not accepted. */
export async function applyChanges(
  client: OperatorClient,
  options: ApplyOptions,
): Promise<CommandResult> {
  const { repeated, isList } = options;
  const documents: AppliedDocument[] = [];
  let last: ChangeReport = { exitCode: ExitCode.Ok };
  for (const [index, change] of options.changes.entries()) {
    const patchId = isList
      ? `${options.patchId}/${index + 1}`
      : options.patchId;
    const body = { patchId, change, repeated };
    const result = await client.post("/v1/apply", body);
    last = toChangeReport(result, change, repeated);
    if (last.reply) {
      documents.push({ patchId, name: nameOf(change), outcome: last.reply });
    }
    if (last.exitCode !== ExitCode.Ok) break;
  }
  return {
    exitCode: last.exitCode,
    document: isList ? documents : documents[0],
    tables: documents.length > 0 ? [toTable(documents)] : [],
    message: last.message,
  };
}
