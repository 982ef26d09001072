/**
 * Reads the routers' logs: lines of key=value pairs, one for each event, from
 * one host or several after one another. What stands before `time=` on a line,
 * as a log collector adds it, is left out.
 */
import { readText } from "./read_text.ts";

/** One event of a log. */
export interface LogEvent {
  event: string;
  /** When it was written, in milliseconds of the Unix clock of its host. */
  timeMs: number;
  fields: ReadonlyMap<string, string>;
}

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads a file; `-` is standard input. */
export async function readLogEvents(file: string): Promise<LogEvent[]> {
  const whole = await readText(file);
  return whole.split("\n").flatMap((line) => parseLogLine(line) ?? []);
}

/** The event of one line; undefined when the line is none. */
export function parseLogLine(line: string): LogEvent | undefined {
  const start = line.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of line.slice(start).matchAll(PAIR)) {
    fields.set(key, unquoted(value));
  }
  const event = fields.get("event");
  const timeMs = Date.parse(fields.get("time") ?? "");
  return event && !Number.isNaN(timeMs) ? { event, timeMs, fields } : undefined;
}

function unquoted(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch (_err) {
    // A line that was cut off; its text is shown as it stands.
    return value;
  }
}
