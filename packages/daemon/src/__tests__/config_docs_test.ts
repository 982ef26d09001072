/** Checks docs/CONFIG.md and docs/examples against the schemas in the code. */
import { describe, expect, test } from "@jest/globals";
import {
  type ChangeDocument,
  createChangeLog,
  createConfigReplica,
  objectJsonSchemas,
  ProposeKind,
  toProposal,
} from "@sassafrascleat/config";
import { createMemoryStore } from "@sassafrascleat/store";
import { readdirSync, readFileSync } from "node:fs";
import { formatIssue, resolveSettings } from "../load_settings.ts";
import { DaemonRole, settingsJsonSchema } from "../settings.ts";

const ROOT = new URL("../../../../", import.meta.url);

/** The example of configuration objects; the others are settings. */
const OBJECTS = "objects.json";

/** Exports of scripts/config_docs.mjs, which writes the tables. */
interface ConfigDocs {
  renderConfigPage(
    page: string,
    settingsSchema: unknown,
    objectSchemas: unknown,
  ): string;
}

function read(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

async function loadScript(): Promise<ConfigDocs> {
  const { href } = new URL("scripts/config_docs.mjs", ROOT);
  return await import(href);
}

describe("docs/CONFIG.md", () => {
  test("is up to date; if not, run scripts/config_docs.mjs", async () => {
    const { renderConfigPage } = await loadScript();
    const page = read("docs/CONFIG.md");
    const schemas = objectJsonSchemas();
    const fresh = renderConfigPage(page, settingsJsonSchema(), schemas);
    expect(page).toBe(fresh);
  });

  test("a changed default makes the page stale", async () => {
    const { renderConfigPage } = await loadScript();
    const page = read("docs/CONFIG.md");
    const changed = JSON.stringify(objectJsonSchemas())
      .replace('"default":570', '"default":571');
    const fresh = renderConfigPage(
      page,
      settingsJsonSchema(),
      JSON.parse(changed),
    );
    expect(fresh).not.toBe(page);
  });

  test("explains every field", async () => {
    const rows = read("docs/CONFIG.md").split("\n")
      .filter((line) => line.startsWith("| `"));
    const unexplained = rows.filter((line) => /\|\s+\|$/.test(line));
    expect(rows.length).toBeGreaterThan(0);
    expect(unexplained).toEqual([]);
  });
});

describe("docs/examples", () => {
  const names = readdirSync(new URL("docs/examples", ROOT))
    .filter((name) => name.endsWith(".json") && name !== OBJECTS);
  const examples = names.map((name) => ({
    name,
    document: JSON.parse(read(`docs/examples/${name}`)) as { role: string },
  }));

  test.each(examples)("$name is accepted", ({ document }) => {
    const loaded = resolveSettings(document);
    const issues = loaded.ok ? [] : loaded.issues.map(formatIssue);
    expect(issues).toEqual([]);
  });

  test("every role has an example", () => {
    const roles = new Set(examples.map((it) => it.document.role));
    expect([...roles].sort()).toEqual(Object.values(DaemonRole).sort());
  });

  test("the configuration objects are accepted in file order", async () => {
    const { signal } = new AbortController();
    const replica = createConfigReplica();
    const log = createChangeLog({
      store: createMemoryStore(),
      replica,
      office: "carolinas",
    });
    const text = read(`docs/examples/${OBJECTS}`);
    const changes = JSON.parse(text) as ChangeDocument[];
    expect(changes.length).toBeGreaterThan(0);
    for (const [index, change] of changes.entries()) {
      const proposal = toProposal(change, `example/${index}`, "ada");
      const outcome = await log.propose(proposal, signal);
      expect(outcome.kind).toBe(ProposeKind.Accepted);
    }
    expect(read("docs/GUIDE.md")).toContain(text);
  });
});
