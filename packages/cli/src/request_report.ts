/**
 * Reports on the requests in the routers' logs: counts by route, end and cause,
 * or all events of one request and of its backend servers.
 */
import type { LogEvent } from "./log_events.ts";
import type { Table } from "./table.ts";

/** Requests of one route with the same end and cause. */
export interface EndCount {
  route: string;
  end: string;
  /** Why they failed or were late, or `on time`; empty if no reason is logged. */
  cause: string;
  count: number;
  /** Fraction of all requests of the route, 0 to 1. */
  share: number;
  /** Median duration, in milliseconds. */
  medianMs: number;
}

/** Whether a response met its latency targets, or which of them it missed. */
export enum ResponseTiming {
  OnTime = "on time",
  LateFirst = "late first event or answer",
  LongGap = "long pause",
}

/**
 * Time before the first event of a request from which events of its backend
 * servers are included, as they may explain its outcome; in milliseconds.
 */
const BACKEND_EVENTS_LEAD_MS = 5_000;
const REQUEST_END = "request_end";
const ANSWERED = "answered";
const NO_REASON = "none";

/** Counts requests by end and cause, the most frequent of each route first. */
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

/** Formats the result of `countEnds` as a table. */
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
 * The events of one request in order of time, with the events of its backend
 * servers from shortly before the request until its last event.
 */
export function eventsOfRequest(
  events: readonly LogEvent[],
  requestId: string,
): LogEvent[] {
  const requestEvents = events.filter((it) =>
    it.fields.get("req") === requestId
  );
  const [first] = requestEvents;
  const last = requestEvents.at(-1);
  if (!first || !last) return [];
  const backends = new Set(requestEvents.flatMap(backendNamesOf));
  const backendEvents = events.filter((it) =>
    !it.fields.has("req") && backendNamesOf(it).some((id) =>
      backends.has(id)
    ) &&
    it.timeMs >= first.timeMs - BACKEND_EVENTS_LEAD_MS &&
    it.timeMs <= last.timeMs
  );
  return [...requestEvents, ...backendEvents].sort((a, b) =>
    a.timeMs - b.timeMs
  );
}

/** Formats the result of `eventsOfRequest` as a table. */
export function eventsTable(events: readonly LogEvent[]): Table {
  const startMs = events[0]?.timeMs ?? 0;
  return {
    header: ["after_ms", "node", "event", "fields"],
    rows: events.map((it) => [
      String(it.timeMs - startMs),
      it.fields.get("node") ?? "",
      it.event,
      otherFields(it),
    ]),
  };
}

function causeOf(event: LogEvent): string {
  const reason = field(event, "reason");
  if (reason !== NO_REASON) return reason;
  if (field(event, "end") !== ANSWERED) return "";
  const targetMs = numberOf(event, "target_ms") ?? Infinity;
  const firstMs = numberOf(event, "first_ms") ?? numberOf(event, "total_ms");
  if ((firstMs ?? 0) > targetMs) return ResponseTiming.LateFirst;
  const gapTargetMs = numberOf(event, "gap_target_ms") ?? Infinity;
  const gapMs = numberOf(event, "longest_gap_ms") ?? 0;
  return gapMs > gapTargetMs ? ResponseTiming.LongGap : ResponseTiming.OnTime;
}

function backendNamesOf(event: LogEvent): string[] {
  return ["backend", "prefill", "from", "to"]
    .map((name) => event.fields.get(name))
    .filter((id) => id !== undefined);
}

function otherFields(event: LogEvent): string {
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
