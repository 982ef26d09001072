/** CPU time and memory of another process, as the kernel reports them. */
import { readFileSync } from "node:fs";

/** Clock ticks per second in `/proc`; fixed by the kernel's interface. */
const TICKS_PER_S = 100;

/** CPU time and memory of a process. */
export interface ProcessCost {
  /** CPU time of all threads since the process started, in milliseconds. */
  cpuMs: number;
  /** Resident memory, in megabytes. */
  rssMb: number;
}

/** Reads the cost of a running process; throws if it has exited. */
export function readProcessCost(pid: number): ProcessCost {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return { cpuMs: ticks * 1_000 / TICKS_PER_S, rssMb: rssKb / 1_000 };
}
