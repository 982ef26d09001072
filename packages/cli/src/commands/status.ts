/** `status` and `drain`: shows the daemon's status, drains a backend server. */
import { command, flag, positional, string } from "cmd-ts";
import { toCommandResult } from "../call_result.ts";
import { connectionArgs } from "../common_args.ts";
import { success } from "../result.ts";
import { runCommand } from "../run_command.ts";
import { documentTable, documentTables } from "../table.ts";

export const statusCommand = command({
  name: "status",
  description:
    "show the configuration sequence in force, backend servers and orders",
  args: connectionArgs,
  handler: (args) =>
    runCommand(args, async (client) => {
      const result = await client.get("/v1/status");
      return toCommandResult(
        result,
        (body) => success(body, ...documentTables(body)),
      );
    }),
});

export const drainCommand = command({
  name: "drain",
  description:
    "drain a backend server: it finishes its requests and gets no new ones",
  args: {
    ...connectionArgs,
    name: positional({
      displayName: "backend server",
      type: string,
    }),
    undo: flag({ long: "undo", description: "cancel the drain" }),
  },
  handler: (args) =>
    runCommand(args, async (client) => {
      const body = { name: args.name, leaving: !args.undo };
      const result = await client.post("/v1/drain", body);
      return toCommandResult(
        result,
        (reply) => success(reply, documentTable(reply)),
      );
    }),
});
