/** docs/OPERATIONS.md and docs/GUIDE.md name what the code can show. */
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

/** The text of every module that is no test, one after the other. */
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

/** Names that no table row of `page` has in backquotes. */
function missing(page: string, names: readonly string[]): string[] {
  const rows = page.split("\n").filter((line) => line.startsWith("|"));
  return names.filter((name) =>
    !rows.some((row) => row.includes(`\`${name}\``))
  );
}

test("every log namespace has its row", () => {
  const parts = matches(/createLogger\("([a-z:]+)"\)/g);
  expect(missing(OPERATIONS, parts)).toEqual([]);
});

test("every log event is named", () => {
  const events = matches(/\blog\(\s*"([a-z_]+)"/g);
  expect(missing(OPERATIONS, events)).toEqual([]);
});

test("every metric has its row", () => {
  const names = matches(/"(sassafrascleat_[a-z_]+)"/g);
  const gauges = matches(/metrics\.gauge\(\s*"([a-z_]+)"/g)
    .map((name) => `sassafrascleat_sidecar_${name}`);
  expect(missing(OPERATIONS, [...names, ...gauges])).toEqual([]);
});

test("every code that a caller can be told has its row", () => {
  const refusals = matches(/\brefusal\(\s*\d+,\s*"([a-z_]+)"/g);
  const reasons = [
    ...Object.values(NotRunReason),
    ...Object.values(UnknownReason),
  ];
  expect(missing(GUIDE, [...refusals, ...reasons])).toEqual([]);
});

test("every code of the operators' API and every reason has its row", () => {
  const codes = [
    ...Object.values(OperatorErrorCode),
    ...Object.values(RefusalReason),
    ...Object.values(StreamFailure),
    ...Object.values(AttemptFailure),
  ];
  expect(missing(OPERATIONS, codes)).toEqual([]);
});
