import { describe, expect, test } from "@jest/globals";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import { ConfigHolder } from "../config_holder.ts";
import { hostOf, pathOf, pickService, RouteIndex } from "../route_index.ts";
import { type Route, RouteKind, type RoutingTable } from "../routing_table.ts";

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: RouteKind.Safe,
    timeoutMs: 800,
    targetLatencyMs: 200,
    priority: 2,
    targets: [{ service: name, weight: 1 }],
    maxAttempts: 2,
    resumable: false,
    maxEventGapMs: 0,
  };
}

function table(version: number, routes: Route[] = []): RoutingTable {
  return {
    version,
    routes,
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

describe("route of a request", () => {
  const index = new RouteIndex(table(1, [
    route("root", "a.example", "/"),
    route("long", "a.example", "/x/y/"),
    route("short", "a.example", "/x/"),
    route("other", "b.example", "/x/"),
  ]));
  test.each([
    ["a.example", "/x/y/z", "long"],
    ["A.Example:8080", "/x/yz", "short"],
    ["a.example", "/x/y", "short"],
    ["a.example", "/x?to=/x/y/", "root"],
    ["a.example", "/x/?q", "short"],
    ["b.example", "/y", undefined],
    ["c.example", "/x/", undefined],
    ["", "/x/", undefined],
  ])("%s %s", (host, target, name) => {
    expect(index.find(host, target)?.name).toBe(name);
  });
});

test("host and path are extracted from the Host header and request target", () => {
  expect(hostOf("[::1]:80")).toBe("[::1]");
  expect(hostOf("h")).toBe("h");
  expect(pathOf("/a/b?c#d")).toBe("/a/b");
});

test("services are picked by weight, and never with weight 0", () => {
  const split = {
    ...route("r", "h", "/"),
    targets: [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
      { service: "c", weight: 0 },
    ],
  };
  const random = createRandom(3);
  const counts = new Map<string, number>();
  for (let i = 0; i < 2_000; i += 1) {
    const service = pickService(split, random) ?? "";
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  expect(counts.get("c")).toBeUndefined();
  expect(counts.get("b")).toBeGreaterThan(120);
  expect(counts.get("b")).toBeLessThan(290);
});

test("older and equal versions are ignored", () => {
  const holder = new ConfigHolder(new ManualClock(0), () => {});
  const seen: number[] = [];
  holder.onChange((item) => seen.push(item.version));
  expect([5, 9, 7, 9, 12].map((v) => holder.activateIfNewer(table(v)))).toEqual(
    [true, true, false, false, true],
  );
  expect(seen).toEqual([5, 9, 12]);
});
