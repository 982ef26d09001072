/**
 * Prepares a fresh clone: installs the locked dependencies when they are
 * missing and builds every package, so that `npm test` and `npm run demo`
 * are the only commands a newcomer needs.
 */
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

function run(cmd, args) {
  const res = spawnSync(cmd, args, { stdio: "inherit" });
  if (res.status !== 0) process.exit(res.status ?? 1);
}

if (!existsSync("node_modules/.package-lock.json")) {
  run("npm", ["ci", "--no-audit", "--no-fund"]);
}
run("node", ["node_modules/typescript/bin/tsc", "-b"]);
