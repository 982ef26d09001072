/**
 * Builds the router's program in a checkout, in whatever environment: installs the
 * few packages that it needs in a folder of their own under target/, and bundles
 * with these alone. Says in a few lines what failed.
 */
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { bundlerOptions, childEnvironment } from "./build/environment.mjs";
import { isComplete, preparePackages } from "./build/packages.mjs";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

function bundle(packages) {
  const { status } = spawnSync(
    process.execPath,
    ["scripts/bundle.mjs", packages],
    { cwd: ROOT, env: childEnvironment(bundlerOptions()), stdio: "inherit" },
  );
  return status === 0;
}

async function buildProgram() {
  const packages = await preparePackages(ROOT);
  if (bundle(packages)) return;
  if (!isComplete(packages)) {
    console.error("build: the packages changed meanwhile, starting again");
    if (bundle(await preparePackages(ROOT))) return;
  }
  throw new Error("the sources can't be bundled, for the reason above");
}

try {
  await buildProgram();
} catch (err) {
  console.error(`build: failed: ${err.message}`);
  process.exitCode = 1;
}
