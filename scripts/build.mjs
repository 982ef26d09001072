/**
 * Builds the router's program in a checkout, in whatever environment: installs the
 * few packages that it needs in a folder of their own under target/, and bundles
 * with these alone. Says in a few lines what failed.
 */
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { bundlerOptions, childEnvironment } from "./build/environment.mjs";
import { preparePackages } from "./build/packages.mjs";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
/** The bundler may crash, or packages be damaged meanwhile. */
const BUNDLE_ATTEMPTS = 3;

/** Ends with nothing when the program is bundled, or with how the bundler ended. */
function bundle(packages) {
  const { status, signal } = spawnSync(
    process.execPath,
    ["scripts/bundle.mjs", packages],
    { cwd: ROOT, env: childEnvironment(bundlerOptions()), stdio: "inherit" },
  );
  return status === 0 ? undefined : signal ?? `status ${status}`;
}

async function buildProgram() {
  for (let attempt = 1; attempt <= BUNDLE_ATTEMPTS; attempt += 1) {
    const end = bundle(await preparePackages(ROOT));
    if (end === undefined) return;
    const title = `attempt ${attempt} of ${BUNDLE_ATTEMPTS}`;
    console.error(`build: ${title} to bundle ended by ${end}`);
  }
  throw new Error("the sources can't be bundled, for the reason above");
}

try {
  await buildProgram();
} catch (err) {
  console.error(`build: failed: ${err.message}`);
  process.exitCode = 1;
}
