/** `get` and `list`: objects in force at the daemon that answers. */
import type { ObjectListReply, ObjectReply } from "@sassafrascleat/config";
import { command, positional, string } from "cmd-ts";
import { readResult } from "../call_result.ts";
import { connectionArgs, kindArg } from "../common_args.ts";
import { shown } from "../result.ts";
import { runCommand } from "../run_command.ts";
import { cell, documentTable, type Table } from "../table.ts";

function listTable(reply: ObjectListReply): Table {
  const rows = reply.objects.map(({ version, object }) => {
    const { name, ...fields } = object;
    const text = Object.entries(fields)
      .map(([key, value]) => `${key}=${cell(value)}`)
      .join(" ");
    return [name, cell(version), cell(text)];
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
      return readResult(
        result,
        (body) => shown(body, listTable(body as ObjectListReply)),
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
      return readResult(result, (body) => {
        const { version, object } = body as ObjectReply;
        return shown(body, documentTable({ version, ...object }));
      });
    }),
});
