/** Reads input files of commands. */
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";

/** File name that denotes standard input. */
export const STANDARD_INPUT = "-";

/** Reads a file or standard input as text. */
export function readText(path: string): Promise<string> {
  return path === STANDARD_INPUT ? text(process.stdin) : readFile(path, "utf8");
}
