/** Tables for people. */
import { MAX_CELL_CHARS } from "./constants.ts";

/** A table with one header line. */
export interface Table {
  /** Printed above the table. @default none */
  title?: string;
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
  const title = table.title ? `${table.title}:\n` : "";
  return title + lines
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

/** Fields of one row by their path. */
type Row = Map<string, unknown>;

/** A list of objects inside a document, under its path. */
interface NestedList {
  path: string;
  items: unknown[];
}

function isTree(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

function isList(value: unknown): value is object[] {
  return Array.isArray(value) && value.length > 0 && value.every(isTree);
}

/** Takes a document apart into its own fields and the lists of objects in it. */
function takeApart(document: unknown, path: string, own: Row): NestedList[] {
  if (isList(document)) return [{ path, items: document }];
  if (!isTree(document) || Object.keys(document).length === 0) {
    own.set(path, document);
    return [];
  }
  return Object.entries(document).flatMap(([key, value]) =>
    takeApart(value, path ? `${path}.${key}` : key, own)
  );
}

/** One row for each item; an item with a list of its own gives one for each. */
function toRows(items: readonly unknown[]): Row[] {
  return items.flatMap((item) => {
    const own: Row = new Map();
    const lists = takeApart(item, "", own);
    const inner = lists.flatMap((list) => toRows(list.items));
    if (inner.length === 0) return [own];
    return inner.map((row): Row => new Map([...own, ...row]));
  });
}

function listTable({ path, items }: NestedList): Table {
  const rows = toRows(items);
  const header = [...new Set(rows.flatMap((row) => [...row.keys()]))];
  const cells = rows.map((row) =>
    header.map((name) => row.has(name) ? cell(row.get(name)) : "")
  );
  return { title: path, header, rows: cells };
}

/** A table of a document's own fields, then one for each list in it. */
export function documentTables(document: unknown): Table[] {
  const own: Row = new Map();
  const lists = takeApart(document, "", own);
  const rows = [...own].map(([path, value]) => [path, cell(value)]);
  return [{ header: ["field", "value"], rows }, ...lists.map(listTable)];
}
