/** `status` and `drain`: what runs, and telling a backend server to leave. */
import { command, flag, positional, string } from "cmd-ts";
import { readResult } from "../call_result.ts";
import { connectionArgs } from "../common_args.ts";
import { shown } from "../result.ts";
import { runCommand } from "../run_command.ts";
import { documentTable, documentTables } from "../table.ts";

export const statusCommand = command({
  name: "status",
  description: "show the sequence in force and the state of the parts",
  args: connectionArgs,
  handler: (args) =>
    runCommand(args, async (client) => {
      const result = await client.get("/v1/status");
      return readResult(
        result,
        (body) => shown(body, ...documentTables(body)),
      );
    }),
});

export const drainCommand = command({
  name: "drain",
  description: "tell a backend server to finish its requests and leave",
  args: {
    ...connectionArgs,
    name: positional({
      displayName: "backend server",
      type: string,
    }),
    undo: flag({ long: "undo", description: "take the notice back" }),
  },
  handler: (args) =>
    runCommand(args, async (client) => {
      const body = { name: args.name, leaving: !args.undo };
      const result = await client.post("/v1/drain", body);
      return readResult(
        result,
        (reply) => shown(reply, documentTable(reply)),
      );
    }),
});
