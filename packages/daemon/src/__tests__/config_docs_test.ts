/** docs/CONFIG.md and the examples against the schemas of the code. */
import { describe, expect, test } from "@jest/globals";
import { objectJsonSchemas } from "@sassafrascleat/config";
import { readdirSync, readFileSync } from "node:fs";
import { formatIssue, resolveSettings } from "../load_settings.ts";
import { DaemonRole, settingsJsonSchema } from "../settings.ts";

const ROOT = new URL("../../../../", import.meta.url);

/** What the script that writes the tables exports. */
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
  test("has the tables of the code; else run scripts/config_docs.mjs", async () => {
    const { renderConfigPage } = await loadScript();
    const page = read("docs/CONFIG.md");
    const schemas = objectJsonSchemas();
    const fresh = renderConfigPage(page, settingsJsonSchema(), schemas);
    expect(page).toBe(fresh);
  });

  test("a changed default makes it stale", async () => {
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
    .filter((name) => name.endsWith(".json"));
  const examples = names.map((name) => ({
    name,
    document: JSON.parse(read(`docs/examples/${name}`)) as { role: string },
  }));

  test.each(examples)("$name is accepted", ({ document }) => {
    const loaded = resolveSettings(document);
    const issues = loaded.ok ? [] : loaded.issues.map(formatIssue);
    expect(issues).toEqual([]);
  });

  test("every role has one", () => {
    const roles = new Set(examples.map((it) => it.document.role));
    expect([...roles].sort()).toEqual(Object.values(DaemonRole).sort());
  });
});
