/**
 * Holds the configuration in force. Versions only grow within one life of the
 * process, whatever order the store's answers arrive in.
 */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import { RouteIndex } from "./route_index.ts";
import type { RoutingTable } from "./routing_table.ts";

/** The configuration in force and since when. */
export interface ConfigInForce {
  table: RoutingTable;
  routes: RouteIndex;
  /** When it came into force, in milliseconds of the process clock. */
  sinceMs: number;
}

/** Owner of the configuration in force. */
export class ConfigHolder {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #listeners: ((table: RoutingTable) => void)[] = [];
  #current: ConfigInForce | undefined;

  constructor(clock: Clock, log: Logger) {
    this.#clock = clock;
    this.#log = log;
  }

  /** The configuration in force; undefined until the first one arrives. */
  get current(): ConfigInForce | undefined {
    return this.#current;
  }

  /** Calls `listener` with each version that comes into force. */
  onChange(listener: (table: RoutingTable) => void): void {
    this.#listeners.push(listener);
    if (this.#current) listener(this.#current.table);
  }

  /** Puts `table` into force unless it is not newer; true when it did. */
  offer(table: RoutingTable): boolean {
    const inForce = this.#current?.table.version;
    if (inForce !== undefined && table.version <= inForce) return false;
    this.#current = {
      table,
      routes: new RouteIndex(table),
      sinceMs: this.#clock.now(),
    };
    this.#log("config_in_force", {
      version: table.version,
      previous: inForce,
      routes: table.routes.length,
      services: table.services.size,
    });
    for (const listener of this.#listeners) listener(table);
    return true;
  }
}
