/**
 * Installs packages with npm, again after a pause when that fails: a download may
 * break, a cache be broken or out of reach, an option unknown to this Node.js.
 */
import { existsSync, rmSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { checkPackages } from "../check_packages.mjs";
import { networkOptions } from "./environment.mjs";
import { runNpm } from "./npm.mjs";
import { PROGRAM_WORKSPACES } from "./workspaces.mjs";

/**
 * How each attempt differs: the pause before it, the cache that it uses, the
 * user's own when none is named, and whether it follows the user's NODE_OPTIONS.
 */
const ATTEMPTS = [
  { pauseMs: 0, cache: undefined, followsOptions: true },
  { pauseMs: 1_000, cache: "cache-1", followsOptions: true },
  { pauseMs: 5_000, cache: "cache-1", followsOptions: false },
  { pauseMs: 15_000, cache: "cache-2", followsOptions: true },
  { pauseMs: 30_000, cache: "cache-2", followsOptions: false },
];
/** All attempts together stay below the 15 minutes that a build may take. */
const ATTEMPT_TIMEOUT_MS = 150_000;

/** Installs into `folder`; caches of the attempts' own are made in `caches`. */
export async function install(folder, caches, attempts = ATTEMPTS) {
  for (const [index, attempt] of attempts.entries()) {
    if (attempt.pauseMs > 0) {
      console.error(`build: next attempt in ${attempt.pauseMs / 1000} s`);
      await sleep(attempt.pauseMs);
    }
    const reason = await tryInstall(folder, caches, attempt);
    if (reason === undefined) return;
    const title = `attempt ${index + 1} of ${attempts.length}`;
    console.error(`build: ${title} to install packages failed: ${reason}`);
  }
  throw new Error(
    "the packages can't be installed, for the reasons above; check the network," +
      " npm's registry and proxy, and the space left under target/",
  );
}

async function tryInstall(folder, caches, { cache, followsOptions }) {
  rmSync(join(folder, "node_modules"), { recursive: true, force: true });
  const failure = await runNpm({
    folder,
    cache: cache && join(caches, cache),
    nodeOptions: followsOptions ? networkOptions() : "",
    timeoutMs: ATTEMPT_TIMEOUT_MS,
  });
  return failure ?? missingPackage(folder);
}

/** Names a package that npm has left out, though it reports no failure. */
function missingPackage(folder) {
  if (!existsSync(join(folder, "node_modules"))) return "nothing was installed";
  try {
    checkPackages(folder, PROGRAM_WORKSPACES);
    return undefined;
  } catch (err) {
    return err.message;
  }
}
