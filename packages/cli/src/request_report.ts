/**
 * What became of the requests in the routers' logs: counted by route, end and
 * cause, or one request with everything that touched it and its backend
 * servers.
 */
import type { LogEvent } from "./log_events.ts";
import type { Table } from "./table.ts";

/** Requests of one route that ended alike. */
export interface EndCount {
  route: string;
  end: string;
  /** Why it was not answered in time, or `on time`; empty when not told. */
  cause: string;
  count: number;
  /** Of all requests of the route, 0 to 1. */
  share: number;
  /** Half of them took longer, in milliseconds. */
  medianMs: number;
}

/** Why an answer was late, or that it was not. */
export enum AnswerTime {
  OnTime = "on time",
  LateFirst = "late first event or answer",
  LongPause = "long pause",
}

/** Changes of a backend server this long before a request explain it. */
const BEFORE_MS = 5_000;
const REQUEST_END = "request_end";
const ANSWERED = "answered";
const NO_REASON = "none";

/** Counts how requests ended, the most frequent of each route first. */
export function countEnds(events: readonly LogEvent[]): EndCount[] {
  const ends = events.filter((it) => it.event === REQUEST_END);
  const groups = new Map<string, LogEvent[]>();
  const perRoute = new Map<string, number>();
  for (const event of ends) {
    const route = field(event, "route");
    const key = [route, field(event, "end"), causeOf(event)].join("\n");
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(event);
    perRoute.set(route, (perRoute.get(route) ?? 0) + 1);
  }
  const counts = [...groups].map(([key, group]) => {
    const [route = "", end = "", cause = ""] = key.split("\n");
    const share = group.length / (perRoute.get(route) ?? 1);
    const medianMs = median(group.map((it) => numberOf(it, "total_ms") ?? 0));
    return { route, end, cause, count: group.length, share, medianMs };
  });
  return counts.sort((a, b) =>
    a.route < b.route ? -1 : a.route > b.route ? 1 : b.count - a.count
  );
}

/** The table of `countEnds`. */
export function endsTable(counts: readonly EndCount[]): Table {
  return {
    header: ["route", "end", "cause", "count", "share", "median_ms"],
    rows: counts.map((it) => [
      it.route,
      it.end,
      it.cause,
      String(it.count),
      `${(100 * it.share).toFixed(1)}%`,
      String(Math.round(it.medianMs)),
    ]),
  };
}

/**
 * The events of one request in order of time, and what happened shortly before
 * and during it to the backend servers that it was sent to.
 */
export function eventsOf(
  events: readonly LogEvent[],
  requestId: string,
): LogEvent[] {
  const own = events.filter((it) => it.fields.get("req") === requestId);
  const [first] = own;
  const last = own.at(-1);
  if (!first || !last) return [];
  const backends = new Set(own.flatMap(backendsOf));
  const around = events.filter((it) =>
    !it.fields.has("req") && backendsOf(it).some((id) => backends.has(id)) &&
    it.timeMs >= first.timeMs - BEFORE_MS && it.timeMs <= last.timeMs
  );
  return [...own, ...around].sort((a, b) => a.timeMs - b.timeMs);
}

/** The table of `eventsOf`. */
export function eventsTable(events: readonly LogEvent[]): Table {
  const startMs = events[0]?.timeMs ?? 0;
  return {
    header: ["after_ms", "node", "event", "fields"],
    rows: events.map((it) => [
      String(it.timeMs - startMs),
      it.fields.get("node") ?? "",
      it.event,
      restOf(it),
    ]),
  };
}

function causeOf(event: LogEvent): string {
  const reason = field(event, "reason");
  if (reason !== NO_REASON) return reason;
  if (field(event, "end") !== ANSWERED) return "";
  const targetMs = numberOf(event, "target_ms") ?? Infinity;
  const firstMs = numberOf(event, "first_ms") ?? numberOf(event, "total_ms");
  if ((firstMs ?? 0) > targetMs) return AnswerTime.LateFirst;
  const gapTargetMs = numberOf(event, "gap_target_ms") ?? Infinity;
  const gapMs = numberOf(event, "longest_gap_ms") ?? 0;
  return gapMs > gapTargetMs ? AnswerTime.LongPause : AnswerTime.OnTime;
}

function backendsOf(event: LogEvent): string[] {
  return ["backend", "prefill", "from", "to"]
    .map((name) => event.fields.get(name))
    .filter((id) => id !== undefined);
}

function restOf(event: LogEvent): string {
  const known = new Set(["time", "node", "event", "req"]);
  return [...event.fields]
    .filter(([name]) => !known.has(name))
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}

function field(event: LogEvent, name: string): string {
  return event.fields.get(name) ?? "";
}

function numberOf(event: LogEvent, name: string): number | undefined {
  const text = event.fields.get(name);
  return text === undefined ? undefined : Number(text);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
