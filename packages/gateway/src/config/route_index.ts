/**
 * Finds the route of a request: the one with the longest matching path prefix
 * among the routes of its host. The index is built once for each version of the
 * configuration.
 */
import type { Random } from "@sassafrascleat/runtime";
import type { Route, RoutingTable } from "./routing_table.ts";

/** The host of a `Host` header, without its port and in lower case. */
export function hostOf(header: string): string {
  const colon = header.lastIndexOf(":");
  const hasPort = colon > header.lastIndexOf("]");
  return (hasPort ? header.slice(0, colon) : header).toLowerCase();
}

/** The path of a request target, without its query. */
export function pathOf(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** Routes by host, longest prefix first. */
export class RouteIndex {
  readonly #routesOfHost = new Map<string, Route[]>();

  constructor(table: RoutingTable) {
    for (const route of table.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routesOfHost.get(host) ?? [];
      routes.push(route);
      this.#routesOfHost.set(host, routes);
    }
    for (const routes of this.#routesOfHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of a request, or undefined when none matches. */
  find(hostHeader: string, target: string): Route | undefined {
    const routes = this.#routesOfHost.get(hostOf(hostHeader));
    const path = pathOf(target);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Picks the service of one request by the weights of its route. */
export function pickService(route: Route, random: Random): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random.float() * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0 && target.weight > 0) return target.service;
  }
  return route.targets.findLast((target) => target.weight > 0)?.service;
}
