/** Text tables with aligned columns. */
import { MAX_CELL_CHARS } from "./constants.ts";

/** A table with one header line. */
export interface Table {
  /** Printed above the table. @default none */
  title?: string;
  header: string[];
  rows: string[][];
}

/** Formats a value for one cell, truncated to `MAX_CELL_CHARS`. */
export function formatCell(value: unknown): string {
  const text = typeof value === "string" ? value : JSON.stringify(value) ?? "";
  return text.length > MAX_CELL_CHARS
    ? `${text.slice(0, MAX_CELL_CHARS - 1)}…`
    : text;
}

/** Formats a table with its columns padded to equal width. */
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

/** One row with the path and the value of each leaf of a document. */
export function leafRows(document: unknown, path = ""): string[][] {
  const isTree = typeof document === "object" && document !== null;
  const entries = isTree ? Object.entries(document) : [];
  if (entries.length === 0) return [[path, formatCell(document)]];
  return entries.flatMap(([key, value]) =>
    leafRows(value, path ? `${path}.${key}` : key)
  );
}

/** A table of paths and values. */
export function documentTable(document: unknown): Table {
  return { header: ["field", "value"], rows: leafRows(document) };
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

/**
 * Returns the lists of objects in a document and adds its other fields to
 * `scalars`.
 */
function splitDocument(
  document: unknown,
  path: string,
  scalars: Row,
): NestedList[] {
  if (isList(document)) return [{ path, items: document }];
  if (!isTree(document) || Object.keys(document).length === 0) {
    scalars.set(path, document);
    return [];
  }
  return Object.entries(document).flatMap(([key, value]) =>
    splitDocument(value, path ? `${path}.${key}` : key, scalars)
  );
}

/**
 * One row per item. An item with nested lists gives one row per nested element,
 * each with the other fields of the item.
 */
function toRows(items: readonly unknown[]): Row[] {
  return items.flatMap((item) => {
    const scalars: Row = new Map();
    const lists = splitDocument(item, "", scalars);
    const inner = lists.flatMap((list) => toRows(list.items));
    if (inner.length === 0) return [scalars];
    return inner.map((row): Row => new Map([...scalars, ...row]));
  });
}

function listTable({ path, items }: NestedList): Table {
  const rows = toRows(items);
  const header = [...new Set(rows.flatMap((row) => [...row.keys()]))];
  const cells = rows.map((row) =>
    header.map((name) => row.has(name) ? formatCell(row.get(name)) : "")
  );
  return { title: path, header, rows: cells };
}

/** A table of a document's fields, then one table per list of objects in it. */
export function documentTables(document: unknown): Table[] {
  const scalars: Row = new Map();
  const lists = splitDocument(document, "", scalars);
  const rows = [...scalars].map(([path, value]) => [path, formatCell(value)]);
  return [{ header: ["field", "value"], rows }, ...lists.map(listTable)];
}
