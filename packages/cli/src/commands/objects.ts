/** `get` and `list`: objects in the current configuration of a daemon. */
import type { ObjectListReply, ObjectReply } from "@sassafrascleat/config";
import { command, positional, string } from "cmd-ts";
import { toCommandResult } from "../call_result.ts";
import { connectionArgs, kindArg } from "../common_args.ts";
import { success } from "../result.ts";
import { runCommand } from "../run_command.ts";
import { documentTable, formatCell, type Table } from "../table.ts";

function listTable(reply: ObjectListReply): Table {
  const rows = reply.objects.map(({ version, object }) => {
    const { name, ...fields } = object;
    const text = Object.entries(fields)
      .map(([key, value]) => `${key}=${formatCell(value)}`)
      .join(" ");
    return [name, formatCell(version), formatCell(text)];
  });
  return { header: ["name", "version", "fields"], rows };
}

export const listCommand = command({
  name: "list",
  description: "list the objects of a kind with their versions",
  args: { ...connectionArgs, kind: kindArg },
  handler: (args) =>
    runCommand(args, async (client) => {
      const result = await client.get(`/v1/objects/${args.kind}`);
      return toCommandResult(
        result,
        (body) => success(body, listTable(body as ObjectListReply)),
      );
    }),
});

export const getCommand = command({
  name: "get",
  description: "show one object with its version",
  args: {
    ...connectionArgs,
    kind: kindArg,
    name: positional({ displayName: "name", type: string }),
  },
  handler: (args) =>
    runCommand(args, async (client) => {
      const name = encodeURIComponent(args.name);
      const result = await client.get(`/v1/objects/${args.kind}/${name}`);
      return toCommandResult(result, (body) => {
        const { version, object } = body as ObjectReply;
        return success(body, documentTable({ version, ...object }));
      });
    }),
});
