/**
 * Writes the tables of docs/CONFIG.md from the JSON Schemas of the settings
 * and of the configuration objects. Run it after a build:
 *
 *     node scripts/config_docs.mjs           # rewrites the page
 *     node scripts/config_docs.mjs --check   # exit status 1 when it is stale
 */
import { readFile, writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";

const HEADER = ["Field", "Type", "Default", "Meaning"];

/** The type of a field, with its bounds. */
function typeOf(schema) {
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``;
  if (schema.enum) {
    return schema.enum.map((it) => `\`${JSON.stringify(it)}\``).join(" or ");
  }
  if (schema.type === "array") return arrayType(schema);
  if (schema.type === "object") return "object";
  return [schema.type, boundsOf(schema)].filter(Boolean).join(", ");
}

function arrayType(schema) {
  const { minItems, maxItems, items } = schema;
  const range = minItems === undefined
    ? ""
    : maxItems === undefined
    ? `, at least ${minItems}`
    : `, ${minItems} to ${maxItems}`;
  return `list of ${items.type}s${range}`;
}

function boundsOf(schema) {
  const { minimum, exclusiveMinimum, maximum, maxLength, pattern } = schema;
  const bounds = [];
  if (minimum > Number.MIN_SAFE_INTEGER) bounds.push(`≥ ${minimum}`);
  if (exclusiveMinimum !== undefined) bounds.push(`> ${exclusiveMinimum}`);
  if (maximum < Number.MAX_SAFE_INTEGER) bounds.push(`≤ ${maximum}`);
  if (maxLength !== undefined) bounds.push(`at most ${maxLength} characters`);
  if (pattern !== undefined) bounds.push(`\`${pattern}\``);
  return bounds.join(", ");
}

function defaultOf(schema, isRequired) {
  if (isRequired) return "required";
  if (schema.default === undefined) return "none";
  return `\`${JSON.stringify(schema.default)}\``;
}

/** Rows of an object's fields; those of nested objects follow their parent. */
function rowsOf(schema, prefix = "") {
  const required = new Set(schema.required ?? []);
  return Object.entries(schema.properties).flatMap(([name, field]) => {
    const path = prefix + name;
    const row = [
      `\`${path}\``,
      typeOf(field),
      defaultOf(field, required.has(name)),
      field.description ?? "",
    ];
    if (field.properties) return [row, ...rowsOf(field, `${path}.`)];
    if (!field.items?.properties) return [row];
    return [row, ...rowsOf(field.items, `${path}[].`)];
  });
}

function line(cells) {
  return `| ${cells.map((it) => it.replaceAll("|", "\\|")).join(" | ")} |`;
}

/** A table with padded columns, as `deno fmt` formats it. */
function tableOf(schema) {
  const rows = [HEADER, ...rowsOf(schema)];
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => [...row[column]].length))
  );
  const padded = rows.map((row) =>
    line(row.map((cell, column) => cell.padEnd(widths[column])))
  );
  const separator = line(widths.map((width) => "-".repeat(width)));
  return [padded[0], separator, ...padded.slice(1)].join("\n");
}

function sectionOf(title, schema) {
  return `### ${title}\n\n${tableOf(schema)}`;
}

function replaceBetween(page, marker, text) {
  const begin = `<!-- begin ${marker} -->`;
  const end = `<!-- end ${marker} -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) throw new Error(`the page has no marker ${begin}`);
  const before = page.slice(0, from + begin.length);
  return `${before}\n\n${text}\n\n${page.slice(to)}`;
}

/** Returns the page with the tables between its markers rendered again. */
export function renderConfigPage(page, settingsSchema, objectSchemas) {
  const settings = settingsSchema.oneOf.map((schema) =>
    sectionOf(`role: ${schema.properties.role.const}`, schema)
  );
  const objects = objectSchemas.map(({ title, jsonSchema }) =>
    sectionOf(title, jsonSchema)
  );
  const withSettings = replaceBetween(page, "settings", settings.join("\n\n"));
  return replaceBetween(withSettings, "objects", objects.join("\n\n"));
}

async function main() {
  const { settingsJsonSchema } = await import("@sassafrascleat/daemon");
  const { objectJsonSchemas } = await import("@sassafrascleat/config");
  const path = new URL("../docs/CONFIG.md", import.meta.url);
  const page = await readFile(path, "utf8");
  const schemas = objectJsonSchemas();
  const fresh = renderConfigPage(page, settingsJsonSchema(), schemas);
  if (process.argv.includes("--check")) {
    if (fresh === page) return;
    console.error("docs/CONFIG.md is stale; run node scripts/config_docs.mjs");
    process.exitCode = 1;
    return;
  }
  await writeFile(path, fresh);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
