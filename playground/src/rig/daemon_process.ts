/**
 * A `sassafrascleatd` process under test. It is started from a settings
 * document and can be killed, paused, resumed or terminated.
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

/** Maximum number of log lines that are kept for failure reports. */
const MAX_LOG_LINES = 400;

/** Timeout for the start of a process, in milliseconds. */
const START_TIMEOUT_MS = 20_000;

/** A settings document in the daemon's schema. */
export type SettingsDocument = Record<string, unknown>;

/** A running daemon process. */
export class DaemonProcess {
  /** Addresses by listener name, as printed on startup. */
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

  /** Process id, for reading resource usage. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Kills the process with SIGKILL; it can't clean up. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Suspends the process; its connections stay open but idle. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Resumes a paused process. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Requests a graceful shutdown; resolves with the exit status. */
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

function collectLogs(child: ChildProcess): string[] {
  const logs: string[] = [];
  const lines = createInterface({ input: child.stderr! });
  lines.on("line", (line) => {
    logs.push(line);
    if (logs.length > MAX_LOG_LINES) logs.shift();
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
      () => fail("the daemon did not start in time"),
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

/** Starts a daemon and waits until it prints its addresses. */
export async function startDaemonProcess(
  settings: SettingsDocument,
  env: Record<string, string>,
): Promise<DaemonProcess> {
  const path = await writeSettings(settings);
  const child = spawn(process.execPath, [DAEMON_MAIN, "--settings", path], {
    env: { PATH: process.env.PATH, DEBUG: "sassafrascleat:*", ...env },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const logs = collectLogs(child);
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
