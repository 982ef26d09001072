/** The tables of the capacity page, as Markdown. */
import { significant } from "../measure/fit.ts";
import type { ImportMemory } from "./import_memory.ts";
import { BUDGET, STORE_LIMIT } from "./plan.ts";
import type { RenewLoad, RoleLoad, StoreLoad } from "./work_out.ts";

function table(head: string[], rows: (string | number)[][]): string {
  const cell = (value: string | number) =>
    typeof value === "number" ? String(significant(value, 3)) : value;
  const line = (cells: (string | number)[]) =>
    `| ${cells.map(cell).join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line)]
    .join("\n");
}

function verdict(value: number, limit: number): string {
  if (value === 0) return "none of its own";
  return `${significant(value, 3)} ${value <= limit ? "ok" : "**over**"}`;
}

/** Loads of the roles, with control against its budget. */
export function roleTable(loads: readonly RoleLoad[]): string {
  const head = [
    "role",
    "processes",
    "requests, ms CPU/s",
    `control, ms CPU/s (of ${BUDGET.cpuMsPerS})`,
    `control, B/s (of ${BUDGET.bytesPerS})`,
    `memory, MB (of ${BUDGET.memoryMb})`,
  ];
  return table(
    head,
    loads.map((load) => [
      load.role,
      load.processes,
      load.requestCpuMsPerS,
      verdict(load.controlCpuMsPerS, BUDGET.cpuMsPerS),
      verdict(load.controlBytesPerS, BUDGET.bytesPerS),
      verdict(load.memoryMb, BUDGET.memoryMb),
    ]),
  );
}

/** Renewals of running requests. */
export function renewTable(loads: readonly RenewLoad[]): string {
  return table(
    ["renewals", "calls/s", "ms CPU/s", "B/s"],
    loads.map((load) => [
      load.role,
      load.callsPerS,
      load.cpuMsPerS,
      load.bytesPerS,
    ]),
  );
}

/** Calls to the store. */
export function storeTable(loads: readonly StoreLoad[]): string {
  const head = [
    "source",
    `reads/s (of ${STORE_LIMIT.readsPerS})`,
    `writes/s (of ${STORE_LIMIT.writesPerS})`,
  ];
  return table(
    head,
    loads.map((load) => [load.source, load.readsPerS, load.writesPerS]),
  );
}

/** Memory that imports bring. */
export function importTable(imports: readonly ImportMemory[]): string {
  return table(
    ["imports", "resident, MB", "with a small heap, MB"],
    imports.map((item) => [item.set, item.rssMb, item.smallHeapRssMb]),
  );
}
