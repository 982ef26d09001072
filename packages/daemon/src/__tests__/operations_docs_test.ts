/**
 * Checks that docs/OPERATIONS.md and docs/GUIDE.md list the log events, metrics
 * and error codes in the code.
 */
import { expect, test } from "@jest/globals";
import { OperatorErrorCode } from "@sassafrascleat/config";
import {
  NotRunReason,
  RefusalReason,
  StreamFailure,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { AttemptFailure } from "@sassafrascleat/routing";
import { readdirSync, readFileSync } from "node:fs";

const ROOT = new URL("../../../../", import.meta.url);
const GUIDE = read("docs/GUIDE.md");
const OPERATIONS = read("docs/OPERATIONS.md");
const SOURCES = [
  sourcesOf("packages/", /^[a-z]+\/src\/.*\.ts$/),
  sourcesOf("platform/", /^src\/.*\.ts$/),
].join("\n");

function read(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

/** Concatenated text of all modules, tests excluded. */
function sourcesOf(folder: string, modules: RegExp): string {
  const paths = readdirSync(new URL(folder, ROOT), { recursive: true })
    .map(String)
    .filter((path) => modules.test(path))
    .filter((path) => !path.includes("__tests__"));
  return paths.map((path) => read(folder + path)).join("\n");
}

function matches(pattern: RegExp): string[] {
  const found = [...SOURCES.matchAll(pattern)].map((match) => match[1] ?? "");
  expect(found.length).toBeGreaterThan(0);
  return [...new Set(found)];
}

/** Names that appear in no table row of `page` in backquotes. */
function missingFromTables(page: string, names: readonly string[]): string[] {
  const rows = page.split("\n").filter((line) => line.startsWith("|"));
  return names.filter((name) =>
    !rows.some((row) => row.includes(`\`${name}\``))
  );
}

test("every log namespace has a table row", () => {
  const parts = matches(/createLogger\("([a-z:]+)"\)/g);
  expect(missingFromTables(OPERATIONS, parts)).toEqual([]);
});

test("every log event has a table row", () => {
  const events = matches(/\blog\(\s*"([a-z_]+)"/g);
  expect(missingFromTables(OPERATIONS, events)).toEqual([]);
});

test("every metric has a table row", () => {
  const names = matches(/"(sassafrascleat_[a-z_]+)"/g);
  const gauges = matches(/metrics\.gauge\(\s*"([a-z_]+)"/g)
    .map((name) => `sassafrascleat_sidecar_${name}`);
  expect(missingFromTables(OPERATIONS, [...names, ...gauges])).toEqual([]);
});

test("every error code sent to callers has a table row", () => {
  const refusals = matches(/\brefusal\(\s*\d+,\s*"([a-z_]+)"/g);
  const reasons = [
    ...Object.values(NotRunReason),
    ...Object.values(UnknownReason),
  ];
  expect(missingFromTables(GUIDE, [...refusals, ...reasons])).toEqual([]);
});

test("every code of the operator API and every reason has a table row", () => {
  const codes = [
    ...Object.values(OperatorErrorCode),
    ...Object.values(RefusalReason),
    ...Object.values(StreamFailure),
    ...Object.values(AttemptFailure),
  ];
  expect(missingFromTables(OPERATIONS, codes)).toEqual([]);
});
