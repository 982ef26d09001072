import { describe, expect, test } from "@jest/globals";
import { type LogEvent, parseLogLine } from "../log_events.ts";
import {
  countEnds,
  eventsOfRequest,
  ResponseTiming,
} from "../request_report.ts";

const DAY = "2026-06-01T12:00:";

function parse(lines: readonly string[]): LogEvent[] {
  return lines.flatMap((line) => parseLogLine(line) ?? []);
}

function ended(second: number, rest: string): string {
  return `time=${DAY}0${second}.000Z event=request_end node=n1 ${rest}`;
}

describe("lines", () => {
  test("skips a log collector's prefix and unquotes values", () => {
    const line = `  4.001 front-1 time=${DAY}01.250Z event=order_rejected ` +
      'backend=i-1 message="status 503, \\"busy\\""';
    const event = parseLogLine(line);
    expect(event?.event).toBe("order_rejected");
    expect(event?.timeMs).toBe(Date.parse(`${DAY}01.250Z`));
    expect(event?.fields.get("message")).toBe('status 503, "busy"');
  });

  test.each([
    ["another program's line", "listening on 8080"],
    ["a line without an event", `time=${DAY}01.000Z node=n1`],
    ["an unreadable time", "time=soon event=started"],
  ])("%s is not an event", (_name, line) => {
    expect(parseLogLine(line)).toBeUndefined();
  });

  test("a truncated line keeps the fields that can be parsed", () => {
    const event = parseLogLine(`time=${DAY}01.000Z event=x message="no e`);
    expect(event?.fields.get("message")).toBe('"no');
  });
});

test("requests are counted by route and cause, late ones by the missed target", () => {
  const stream = "route=r1 end=answered reason=none target_ms=900";
  const counts = countEnds(parse([
    ended(1, `${stream} first_ms=200 total_ms=3000`),
    ended(2, `${stream} first_ms=901 total_ms=3100`),
    ended(
      3,
      `${stream} first_ms=300 total_ms=3200 longest_gap_ms=301 gap_target_ms=300`,
    ),
    ended(4, `${stream} first_ms=200 total_ms=3000`),
    ended(5, "route=r0 end=refused reason=no_room target_ms=900 total_ms=250"),
    ended(6, "route=r0 end=answered reason=none target_ms=100 total_ms=150"),
  ]));
  expect(counts.map((it) => [it.route, it.end, it.cause, it.count])).toEqual([
    ["r0", "refused", "no_room", 1],
    ["r0", "answered", ResponseTiming.LateFirst, 1],
    ["r1", "answered", ResponseTiming.OnTime, 2],
    ["r1", "answered", ResponseTiming.LateFirst, 1],
    ["r1", "answered", ResponseTiming.LongGap, 1],
  ]);
  expect(counts[2]?.share).toBe(0.5);
});

test("the events of a request include those of its backend servers", () => {
  const at = (time: string, rest: string) => `time=${DAY}${time}Z ${rest}`;
  const events = eventsOfRequest(
    parse([
      at("03.000", "event=decode_send node=n1 req=a backend=e1 prefill=p1"),
      at("03.900", "event=backend_ejected node=n2 backend=e1"),
      at("01.000", "event=backend_change node=n1 backend=p1 change=draining"),
      at("01.500", "event=backend_change node=n1 backend=e2 change=joined"),
      at("02.000", "event=decode_send node=n1 req=b backend=e1"),
      at("04.000", "event=request_end node=n1 req=a end=failed"),
      at("09.000", "event=backend_change node=n1 backend=e1 change=removed"),
    ]),
    "a",
  );
  expect(events.map((it) => it.event)).toEqual([
    "backend_change",
    "decode_send",
    "backend_ejected",
    "request_end",
  ]);
  expect(eventsOfRequest(parse([]), "a")).toEqual([]);
});
