/**
 * Loggers based on `debug`: one line of key=value pairs per event, with one
 * namespace per component (`sassafrascleat:entry`). Values with spaces are
 * quoted and long ones shortened. Prompt text, answers and secrets must never be logged.
 */
import createDebug from "debug";

/** The value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event; undefined fields are omitted. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one event. */
export type Logger = (event: string, fields?: LogFields) => void;

/** Maximum length of a value, in characters; names from outside may be long. */
const MAX_VALUE_LENGTH = 1_000;

function shorten(text: string): string {
  if (text.length <= MAX_VALUE_LENGTH) return text;
  return `${text.slice(0, MAX_VALUE_LENGTH)}…`;
}

function formatValue(value: Exclude<LogValue, undefined>): string {
  const text = shorten(String(value));
  return /[\s"=]/.test(text) || text === "" ? JSON.stringify(text) : text;
}

/** Formats an event as `event=name key=value …`. */
export function formatEvent(event: string, fields: LogFields = {}): string {
  const parts = [`event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) parts.push(`${key}=${formatValue(value)}`);
  }
  return parts.join(" ");
}

/** Creates the logger of one component, for example `createLogger("entry")`. */
export function createLogger(component: string): Logger {
  const write = createDebug(`sassafrascleat:${component}`);
  return (event, fields) => {
    if (write.enabled) write("%s", formatEvent(event, fields));
  };
}
