/**
 * Parses the routers' logs: one line of key=value pairs per event, from one host
 * or from several hosts concatenated. Text before `time=` on a line, such as a
 * log collector's prefix, is ignored.
 */
import { readText } from "./read_text.ts";

/** One event of a log. */
export interface LogEvent {
  event: string;
  /** Unix time in milliseconds by the clock of the host that wrote the event. */
  timeMs: number;
  fields: ReadonlyMap<string, string>;
}

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads the events of a log file; `-` is standard input. */
export async function readLogEvents(file: string): Promise<LogEvent[]> {
  const text = await readText(file);
  return text.split("\n").flatMap((line) => parseLogLine(line) ?? []);
}

/** Parses one line; undefined if it is not a log event. */
export function parseLogLine(line: string): LogEvent | undefined {
  const start = line.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of line.slice(start).matchAll(PAIR)) {
    fields.set(key, unquote(value));
  }
  const event = fields.get("event");
  const timeMs = Date.parse(fields.get("time") ?? "");
  return event && !Number.isNaN(timeMs) ? { event, timeMs, fields } : undefined;
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch (_err) {
    // The line is truncated; the raw text is returned.
    return value;
  }
}
