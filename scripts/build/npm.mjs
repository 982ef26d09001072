/**
 * One run of npm that installs the packages of the program's workspaces from the
 * lock file. What the user has set for the registry, proxy, certificates and
 * access holds; what would change which packages are installed doesn't.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { childEnvironment } from "./environment.mjs";
import { PROGRAM_WORKSPACES } from "./workspaces.mjs";

/** Flags go before variables and every configuration file. */
const FLAGS = [
  "--include=prod",
  "--include=dev",
  "--include=optional",
  "--include=peer",
  "--no-include-workspace-root",
  "--workspaces",
  "--package-lock",
  "--no-package-lock-only",
  "--no-dry-run",
  "--no-global",
  "--location=project",
  "--no-usage",
  "--no-version",
  "--install-strategy=hoisted",
  "--no-install-links",
  "--no-legacy-peer-deps",
  "--no-strict-peer-deps",
  "--no-engine-strict",
  "--no-bin-links",
  "--ignore-scripts",
  "--no-audit",
  "--no-fund",
  "--no-update-notifier",
  "--no-progress",
  "--no-json",
  "--loglevel=error",
  "--logs-max=0",
  "--fetch-retries=3",
  "--fetch-retry-factor=2",
  "--fetch-retry-mintimeout=500",
  "--fetch-retry-maxtimeout=8000",
  "--fetch-timeout=60000",
];
/** The last lines of npm that are shown. */
const SHOWN_LINES = 12;
/** Lines of npm that don't say why it failed. */
const NOISE = /complete log of this run|Log files were not written|^\s*$/;

/** Ends with nothing when npm has installed, or with the reason why not. */
export function runNpm({ folder, cache, nodeOptions, timeoutMs }) {
  const workspaces = PROGRAM_WORKSPACES.flatMap((name) => ["-w", name]);
  const caches = cache === undefined ? [] : [`--cache=${cache}`];
  const child = spawn(
    "npm",
    ["ci", `--prefix=${folder}`, ...workspaces, ...FLAGS, ...caches],
    {
      cwd: folder,
      env: childEnvironment(nodeOptions),
      stdio: ["ignore", "pipe", "pipe"],
    },
  );
  return outcome(child, timeoutMs);
}

async function outcome(child, timeoutMs) {
  let output = "";
  const collect = (chunk) => output += chunk;
  child.stdout.on("data", collect);
  child.stderr.on("data", collect);
  const stop = () => child.kill("SIGKILL");
  const timer = setTimeout(stop, timeoutMs);
  try {
    const [status, signal] = await once(child, "close");
    if (status === 0) return undefined;
    const end = signal === null
      ? `npm ended with status ${status}`
      : `npm was ended by ${signal}, after ${timeoutMs / 1000} s by the build`;
    return [end, ...lastLines(output)].join("\n  ");
  } catch (err) {
    throw new Error(`npm can't be started: ${err.message}`);
  } finally {
    clearTimeout(timer);
  }
}

function lastLines(output) {
  return output.split("\n").filter((line) => !NOISE.test(line))
    .slice(-SHOWN_LINES);
}
