/** Sends changes one after the other and reports each outcome. */
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
import { cell, type Table } from "./table.ts";

/** What to send and under which ids. */
export interface ApplyOptions {
  changes: readonly ChangeDocument[];
  /** The file held a list; the id of each change gets its position. */
  isList: boolean;
  patchId: string;
  /** The patch id was sent before, with an unknown outcome. */
  repeated: boolean;
}

/** The outcome of one change. */
interface Report {
  exitCode: ExitCode;
  message?: string;
  reply?: ApplyReply;
}

/** One change's outcome under its patch id, as `--output json` prints it. */
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

/** What the operator should do about a reply. */
function advice(reply: ApplyReply, change: ChangeDocument): string | undefined {
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

function isReply(body: unknown): body is ApplyReply {
  const kind = (body as { kind?: unknown } | null)?.kind;
  return Object.values<unknown>(ProposeKind).includes(kind);
}

/** A change that may have been accepted, or not, for all that is known here. */
function lost(message: string): Report {
  const text = `${message}; the change may have been accepted, so ask again ` +
    "with the same patch id";
  return { exitCode: ExitCode.Unknown, message: text };
}

/** The report on a call without an answer. */
function unanswered(result: UnansweredCall, repeated: boolean): Report {
  if (repeated || result.kind === CallKind.NoAnswer) {
    return lost(result.message);
  }
  const message = `${result.message}; nothing was sent, check --endpoint`;
  return { exitCode: ExitCode.NotRun, message };
}

function toReport(
  result: CallResult,
  change: ChangeDocument,
  repeated: boolean,
): Report {
  if (result.kind !== CallKind.Answered) return unanswered(result, repeated);
  const { status, body } = result;
  if (isReply(body)) {
    const message = advice(body, change);
    return { exitCode: EXIT_CODES[body.kind], message, reply: body };
  }
  const error = status < 500 ? errorResult(body) : undefined;
  return error ?? lost(`the answer has status ${status}`);
}

function toTable(documents: readonly AppliedDocument[]): Table {
  const header = ["patch id", "name", "outcome", "sequence", "version"];
  const rows = documents.map(({ patchId, name, outcome }) => {
    const accepted = outcome.kind === ProposeKind.Accepted;
    const sequence = accepted ? cell(outcome.sequence) : "";
    const version = accepted ? cell(outcome.version) : "";
    return [patchId, name, outcome.kind, sequence, version];
  });
  return { header, rows };
}

/** Sends the changes in order; the first that is not accepted ends it. */
export async function applyChanges(
  client: OperatorClient,
  options: ApplyOptions,
): Promise<CommandResult> {
  const { repeated, isList } = options;
  const documents: AppliedDocument[] = [];
  let last: Report = { exitCode: ExitCode.Ok };
  for (const [index, change] of options.changes.entries()) {
    const patchId = isList
      ? `${options.patchId}/${index + 1}`
      : options.patchId;
    const body = { patchId, change, repeated };
    const result = await client.post("/v1/apply", body);
    last = toReport(result, change, repeated);
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
