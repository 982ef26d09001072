/** `requests` and `explain`: reports on requests from the routers' logs. */
import { errorMessage } from "@sassafrascleat/runtime";
import { command, positional, string } from "cmd-ts";
import { outputArgs } from "../common_args.ts";
import { ExitCode } from "../exit_code.ts";
import { type LogEvent, readLogEvents } from "../log_events.ts";
import { type OutputFormat, printResult } from "../output.ts";
import {
  countEnds,
  endsTable,
  eventsOfRequest,
  eventsTable,
} from "../request_report.ts";
import { type CommandResult, failure, success } from "../result.ts";

const logArg = positional({
  displayName: "log",
  type: string,
  description: "log lines of one or several routers; - is standard input",
});

export const requestsCommand = command({
  name: "requests",
  description: "count how the requests in a log ended, by route and cause",
  args: { ...outputArgs, log: logArg },
  handler: ({ log, output }) => reportOnLog(log, output, toEndCounts),
});

export const explainCommand = command({
  name: "explain",
  description: "show the log events of one request and of its backend servers",
  args: {
    ...outputArgs,
    log: logArg,
    request: positional({
      displayName: "request",
      type: string,
      description: "id of the request",
    }),
  },
  handler: ({ log, request, output }) =>
    reportOnLog(log, output, (events) => toExplanation(events, request)),
});

function toEndCounts(events: readonly LogEvent[]): CommandResult {
  const counts = countEnds(events);
  return success(counts, endsTable(counts));
}

function toExplanation(
  events: readonly LogEvent[],
  request: string,
): CommandResult {
  const found = eventsOfRequest(events, request);
  if (found.length === 0) {
    const message = `the log has no line for request ${request}: check the ` +
      "id, and that the logs of all routers are given";
    return failure(ExitCode.NotFound, message);
  }
  const document = found.map((it) => Object.fromEntries(it.fields));
  return success(document, eventsTable(found));
}

async function reportOnLog(
  log: string,
  output: OutputFormat,
  toResult: (events: readonly LogEvent[]) => CommandResult,
): Promise<void> {
  try {
    printResult(toResult(await readLogEvents(log)), output);
  } catch (err) {
    const message = `${log} can't be read: ${errorMessage(err)}`;
    printResult(failure(ExitCode.Usage, message), output);
  }
}
