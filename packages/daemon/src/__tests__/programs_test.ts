/** The programs that `npx` finds: npm links them before anything is built. */
import { expect, test } from "@jest/globals";
import { accessSync, constants, readFileSync } from "node:fs";

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
