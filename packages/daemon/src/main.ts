#!/usr/bin/env node
/**
 * The `sassafrascleatd` program. It reads one settings file, starts the role
 * that the file names, and stops gracefully on SIGTERM or SIGINT; a second
 * signal stops at once.
 */
import { createLogger, errorMessage } from "@sassafrascleat/runtime";
import { command, flag, option, optional, runSafely, string } from "cmd-ts";
import { ExitCode } from "./constants.ts";
import {
  formatIssue,
  loadSettings,
  type SettingsIssue,
} from "./load_settings.ts";
import type { RunningDaemon } from "./running.ts";
import { settingsJsonSchema } from "./settings.ts";
import { SettingsError, startDaemon } from "./start.ts";

const log = createLogger("daemon");

function reportIssues(path: string, issues: readonly SettingsIssue[]): void {
  console.error(`settings: ${issues.length} error(s) in ${path}`);
  for (const issue of issues) console.error(`  ${formatIssue(issue)}`);
}

function stopOnSignal(running: RunningDaemon): void {
  let stopping = false;
  const onSignal = (signal: NodeJS.Signals) => {
    log("stopping", { signal, immediate: stopping });
    const stopped = stopping ? running.close() : running.drain();
    stopping = true;
    stopped.finally(() => process.exit(ExitCode.Ok));
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

async function start(path: string, checkOnly: boolean): Promise<number> {
  const loaded = await loadSettings(path);
  if (!loaded.ok) {
    reportIssues(path, loaded.issues);
    return ExitCode.BadSettings;
  }
  if (checkOnly) {
    console.log(`settings: ${path} is valid, role ${loaded.settings.role}`);
    return ExitCode.Ok;
  }
  try {
    const running = await startDaemon(loaded.settings);
    stopOnSignal(running);
    log("started", { role: loaded.settings.role, ...running.addresses });
    console.log(JSON.stringify({ started: running.addresses }));
    return ExitCode.Ok;
  } catch (err) {
    if (err instanceof SettingsError) {
      reportIssues(path, err.issues);
      return ExitCode.BadSettings;
    }
    console.error(`start failed: ${errorMessage(err)}`);
    return ExitCode.StartFailed;
  }
}

const program = command({
  name: "sassafrascleatd",
  version: "0.1.0",
  description:
    "Runs an entry, a sidecar, or a whole demo deployment in one process.",
  args: {
    settings: option({
      type: optional(string),
      long: "settings",
      description: "Path of the JSON settings file",
    }),
    check: flag({ long: "check", description: "Check the settings and exit" }),
    schema: flag({
      long: "schema",
      description: "Print the JSON Schema of the settings and exit",
    }),
  },
  handler: async ({ settings, check, schema }) => {
    if (schema) {
      console.log(JSON.stringify(settingsJsonSchema(), null, 2));
      return;
    }
    if (!settings) {
      console.error("usage: sassafrascleatd --settings FILE [--check]");
      process.exit(ExitCode.BadSettings);
    }
    const status = await start(settings, check);
    if (status !== ExitCode.Ok) process.exit(status);
  },
});

const result = await runSafely(program, process.argv.slice(2));
if (result._tag === "error") {
  const { message, into, exitCode } = result.error.config;
  process[into].write(`${message}\n`);
  process.exitCode = exitCode === 0 ? ExitCode.Ok : ExitCode.BadSettings;
}
