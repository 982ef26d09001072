/** The tables of docs/CAPACITY.md, as Markdown. */
import { roundToSignificantDigits } from "../measure/fit.ts";
import type { ImportMemory } from "./import_memory.ts";
import { DAEMON_BUDGET, STORE_LIMIT } from "./plan.ts";
import type { RenewalLoad, RoleLoad, StoreLoad } from "./planned_load.ts";

function table(head: string[], rows: (string | number)[][]): string {
  const cell = (value: string | number) =>
    typeof value === "number"
      ? String(roundToSignificantDigits(value, 3))
      : value;
  const line = (cells: (string | number)[]) =>
    `| ${cells.map(cell).join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line)]
    .join("\n");
}

function verdict(value: number, limit: number): string {
  if (value === 0) return "none of its own";
  return `${roundToSignificantDigits(value, 3)} ${
    value <= limit ? "ok" : "**over**"
  }`;
}

/** Load of each role, with control-plane load compared to its budget. */
export function roleTable(loads: readonly RoleLoad[]): string {
  const head = [
    "role",
    "processes",
    "requests, ms CPU/s",
    `control, ms CPU/s (of ${DAEMON_BUDGET.cpuMsPerS})`,
    `control, B/s (of ${DAEMON_BUDGET.bytesPerS})`,
    `memory, MB (of ${DAEMON_BUDGET.memoryMb})`,
  ];
  return table(
    head,
    loads.map((load) => [
      load.role,
      load.processes,
      load.requestCpuMsPerS,
      verdict(load.controlCpuMsPerS, DAEMON_BUDGET.cpuMsPerS),
      verdict(load.controlBytesPerS, DAEMON_BUDGET.bytesPerS),
      verdict(load.memoryMb, DAEMON_BUDGET.memoryMb),
    ]),
  );
}

/** Cost of renewing attempts at their sidecars, by role. */
export function renewalTable(loads: readonly RenewalLoad[]): string {
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

/** Rate of calls to the object store, by source. */
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

/** Resident memory after importing each set of packages. */
export function importTable(imports: readonly ImportMemory[]): string {
  return table(
    ["imports", "resident, MB", "with a small heap, MB"],
    imports.map((item) => [item.set, item.rssMb, item.smallHeapRssMb]),
  );
}
