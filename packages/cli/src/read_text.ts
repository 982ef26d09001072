/** Reads the files that commands name. */
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";

/** The name that stands for standard input. */
export const STANDARD_INPUT = "-";

/** The text of a file, or of standard input. */
export function readText(path: string): Promise<string> {
  return path === STANDARD_INPUT ? text(process.stdin) : readFile(path, "utf8");
}
