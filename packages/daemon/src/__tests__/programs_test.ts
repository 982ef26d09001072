/** Checks the `bin` files, which npm links at installation, before the build. */
import { expect, test } from "@jest/globals";
import { spawnSync } from "node:child_process";
import { accessSync, constants, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const PACKAGES = new URL("../../../", import.meta.url);

test.each([
  { folder: "cli", program: "sassafrascleat" },
  { folder: "daemon", program: "sassafrascleatd" },
])("$program is a committed, executable file", ({ folder, program }) => {
  const root = new URL(`${folder}/`, PACKAGES);
  const manifest = JSON.parse(
    readFileSync(new URL("package.json", root), "utf8"),
  ) as { bin: Record<string, string> };
  const bin = manifest.bin[program] ?? "";
  expect(bin).not.toMatch(/dist/);
  accessSync(new URL(bin, root), constants.X_OK);
});

/** Runs the daemon until it exits and returns its exit status. */
function runDaemon(...args: string[]): number | null {
  const program = new URL("daemon/bin/sassafrascleatd.js", PACKAGES);
  const argv = [fileURLToPath(program), ...args];
  return spawnSync(process.execPath, argv, { stdio: "ignore" }).status;
}

test("the daemon's exit status is 2 for invalid arguments or settings", () => {
  const example = new URL("../docs/examples/dev.json", PACKAGES);
  expect(runDaemon("--settings", fileURLToPath(example), "--check")).toBe(0);
  expect(runDaemon("--version")).toBe(0);
  expect(runDaemon("--no-such-option")).toBe(2);
  expect(runDaemon()).toBe(2);
  expect(runDaemon("--settings", "no-such-file.json")).toBe(2);
});
