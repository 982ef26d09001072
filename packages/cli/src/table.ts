/** Tables for people. */
import { MAX_CELL_CHARS } from "./constants.ts";

/** A table with one header line. */
export interface Table {
  header: string[];
  rows: string[][];
}

/** A value in one cell. */
export function cell(value: unknown): string {
  const text = typeof value === "string" ? value : JSON.stringify(value) ?? "";
  return text.length > MAX_CELL_CHARS
    ? `${text.slice(0, MAX_CELL_CHARS - 1)}…`
    : text;
}

/** Lines of a table with aligned columns. */
export function formatTable(table: Table): string {
  const lines = [table.header.map((name) => name.toUpperCase()), ...table.rows];
  const widths = table.header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines
    .map((line) =>
      line.map((text, column) => text.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}

/** One row for each leaf of a document, under its path. */
export function flatten(document: unknown, path = ""): string[][] {
  const isTree = typeof document === "object" && document !== null;
  const entries = isTree ? Object.entries(document) : [];
  if (entries.length === 0) return [[path, cell(document)]];
  return entries.flatMap(([key, value]) =>
    flatten(value, path ? `${path}.${key}` : key)
  );
}

/** A table of paths and values. */
export function documentTable(document: unknown): Table {
  return { header: ["field", "value"], rows: flatten(document) };
}
