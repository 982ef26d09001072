/** `history`: the audit trail, newest entry first. */
import { type HistoryReply, ObjectKind } from "@sassafrascleat/config";
import { command, number, oneOf, option, optional, string } from "cmd-ts";
import { toCommandResult } from "../call_result.ts";
import { connectionArgs } from "../common_args.ts";
import { success } from "../result.ts";
import { runCommand } from "../run_command.ts";
import { formatCell, type Table } from "../table.ts";

/** Filters, named like the query parameters of the API. */
interface HistoryFilters {
  kind: string | undefined;
  name: string | undefined;
  since: string | undefined;
  until: string | undefined;
  before: number | undefined;
  limit: number | undefined;
}

function toQuery(filters: HistoryFilters): string {
  const { kind, name, since, until, before, limit } = filters;
  const entries = Object.entries({ kind, name, since, until, before, limit })
    .filter(([, value]) => value !== undefined)
    .map(([key, value]): [string, string] => [key, String(value)]);
  return new URLSearchParams(entries).toString();
}

function historyTable(reply: HistoryReply): Table {
  const header = [
    "sequence",
    "time",
    "office",
    "author",
    "action",
    "kind",
    "name",
    "version",
    "patch id",
  ];
  const rows = reply.changes.map((change) => [
    formatCell(change.sequence),
    change.time,
    change.office,
    change.author,
    change.action,
    change.kind,
    change.name,
    formatCell(change.version),
    change.patchId,
  ]);
  return { header, rows };
}

export const historyCommand = command({
  name: "history",
  description: "show accepted changes, newest first",
  args: {
    ...connectionArgs,
    kind: option({
      long: "kind",
      type: optional(oneOf(Object.values(ObjectKind))),
    }),
    name: option({ long: "name", type: optional(string) }),
    since: option({
      long: "since",
      type: optional(string),
      description: "earliest time, for example 2026-01-31T08:00:00Z",
    }),
    until: option({
      long: "until",
      type: optional(string),
      description: "latest time",
    }),
    before: option({
      long: "before",
      type: optional(number),
      description: "only changes with a lower sequence, for paging",
    }),
    limit: option({
      long: "limit",
      type: optional(number),
      description: "maximum number of changes to show [100]",
    }),
  },
  handler: (args) =>
    runCommand(args, async (client) => {
      const result = await client.get(`/v1/history?${toQuery(args)}`);
      return toCommandResult(
        result,
        (body) => success(body, historyTable(body as HistoryReply)),
      );
    }),
});
