/**
 * A `sassafrascleatd` process under test: started from a settings document,
 * then killed, paused, resumed or asked to stop.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { VError } from "@sassafrascleat/runtime";

const DAEMON_MAIN = fileURLToPath(
  new URL("../../../packages/daemon/dist/main.js", import.meta.url),
);

/** Log lines kept for a failure report. */
const KEPT_LOG_LINES = 400;

/** Longest start of a process, in milliseconds. */
const START_TIMEOUT_MS = 20_000;

/** A settings document; its schema is the daemon's. */
export type SettingsDocument = Record<string, unknown>;

/** A running daemon process. */
export class DaemonProcess {
  /** Addresses by listener name, from the start line. */
  readonly addresses: Record<string, string>;
  readonly #child: ChildProcess;
  readonly #logs: string[];
  readonly #exited: Promise<number | null>;

  constructor(
    child: ChildProcess,
    addresses: Record<string, string>,
    logs: string[],
  ) {
    this.#child = child;
    this.addresses = addresses;
    this.#logs = logs;
    this.#exited = new Promise((resolve) => {
      if (child.exitCode !== null) return resolve(child.exitCode);
      child.once("exit", (code) => resolve(code));
    });
  }

  /** The last log lines, oldest first. */
  get logs(): readonly string[] {
    return this.#logs;
  }

  /** The process id, for reading its costs. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Ends the process at once, without any clean-up of its own. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Stops the process in its tracks; its connections stay open and silent. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Asks for a graceful stop; resolves with the exit status. */
  async terminate(): Promise<number | null> {
    this.#child.kill("SIGTERM");
    return await this.#exited;
  }
}

async function writeSettings(settings: SettingsDocument): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "sassafrascleat-rig-"));
  const path = join(folder, "settings.json");
  await writeFile(path, JSON.stringify(settings));
  return path;
}

function keepLogs(child: ChildProcess): string[] {
  const logs: string[] = [];
  const lines = createInterface({ input: child.stderr! });
  lines.on("line", (line) => {
    logs.push(line);
    if (logs.length > KEPT_LOG_LINES) logs.shift();
  });
  return logs;
}

function readAddresses(
  child: ChildProcess,
  logs: string[],
): Promise<Record<string, string>> {
  return new Promise((resolve, reject) => {
    const fail = (why: string) =>
      reject(new VError("%s:\n%s", why, logs.slice(-10).join("\n")));
    const timer = setTimeout(
      () => fail("start took too long"),
      START_TIMEOUT_MS,
    );
    child.once("exit", (code) => fail(`the daemon exited with ${code}`));
    createInterface({ input: child.stdout! }).once("line", (line) => {
      clearTimeout(timer);
      const parsed = JSON.parse(line) as { started: Record<string, string> };
      resolve(parsed.started);
    });
  });
}

/** Starts a daemon and waits for its start line. */
export async function startDaemonProcess(
  settings: SettingsDocument,
  env: Record<string, string>,
): Promise<DaemonProcess> {
  const path = await writeSettings(settings);
  const child = spawn(process.execPath, [DAEMON_MAIN, "--settings", path], {
    env: { PATH: process.env.PATH, DEBUG: "sassafrascleat:*", ...env },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const logs = keepLogs(child);
  try {
    const addresses = await readAddresses(child, logs);
    return new DaemonProcess(child, addresses, logs);
  } catch (err) {
    child.kill("SIGKILL");
    throw err;
  } finally {
    await rm(join(path, ".."), { recursive: true });
  }
}
