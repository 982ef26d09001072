/** Checks the imports of packages against the table in docs/ARCHITECTURE.md. */
import { expect, test } from "@jest/globals";
import { readdirSync, readFileSync } from "node:fs";

const ROOT = new URL("../../../../", import.meta.url);

/** Matches a row that allows all packages except those listed. */
const ALL_BUT = /^all but ([a-z, ]+)$/;

function read(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

const PACKAGES = readdirSync(new URL("packages/", ROOT));

/** Packages that the page allows `name` to import. */
function allowedFor(name: string): string[] {
  const row = read("docs/ARCHITECTURE.md").split("\n")
    .find((line) => line.startsWith(`| \`${name}\``));
  const allowed = row?.split("|")[3]?.trim() ?? "no row";
  if (allowed === "nothing of ours") return [];
  const except = ALL_BUT.exec(allowed)?.[1]?.split(", ");
  if (except) return PACKAGES.filter((it) => !except.includes(it));
  return allowed.split(", ");
}

/** Packages that modules of `name` import, tests excluded. */
function importedBy(name: string): string[] {
  const folder = `packages/${name}/src/`;
  const text = readdirSync(new URL(folder, ROOT), { recursive: true })
    .map(String)
    .filter((path) => path.endsWith(".ts") && !path.includes("__tests__"))
    .map((path) => read(folder + path))
    .join("\n");
  const imports = text.matchAll(/from "@sassafrascleat\/([a-z]+)"/g);
  return [...new Set([...imports].map((match) => match[1] ?? ""))];
}

test.each(PACKAGES)("%s imports only packages that its row allows", (name) => {
  const allowed = allowedFor(name);
  const forbidden = importedBy(name).filter((it) => !allowed.includes(it));
  expect(allowed.filter((it) => !PACKAGES.includes(it))).toEqual([]);
  expect(forbidden).toEqual([]);
});
