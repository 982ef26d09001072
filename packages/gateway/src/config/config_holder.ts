/**
 * Holds the active configuration. Versions only increase during the lifetime of
 * a process, whatever the order in which the store's responses arrive.
 */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import { CustomerIndex } from "./customer_index.ts";
import { PriorityLevels } from "./priority_levels.ts";
import { RouteIndex } from "./route_index.ts";
import type { RoutingTable } from "./routing_table.ts";

/** The active configuration and since when it has been active. */
export interface ActiveConfig {
  table: RoutingTable;
  routes: RouteIndex;
  /** Absent: no API key is required. */
  customers?: CustomerIndex;
  /** Absent: the priorities of the routes apply. */
  priorities?: PriorityLevels;
  /** When it became active, in milliseconds of the process clock. */
  sinceMs: number;
}

/** Keeps the active configuration and reports new versions. */
export class ConfigHolder {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #listeners: ((table: RoutingTable) => void)[] = [];
  #current: ActiveConfig | undefined;

  constructor(clock: Clock, log: Logger) {
    this.#clock = clock;
    this.#log = log;
  }

  /** The active configuration; undefined until the first one arrives. */
  get current(): ActiveConfig | undefined {
    return this.#current;
  }

  /** Calls `listener` with each version that becomes active. */
  onChange(listener: (table: RoutingTable) => void): void {
    this.#listeners.push(listener);
    if (this.#current) listener(this.#current.table);
  }

  /** Activates `table` if it is newer, and returns whether it is. */
  activateIfNewer(table: RoutingTable): boolean {
    const previous = this.#current;
    const currentVersion = previous?.table.version;
    if (currentVersion !== undefined && table.version <= currentVersion) {
      return false;
    }
    this.#current = {
      table,
      routes: new RouteIndex(table),
      customers: table.customers &&
        new CustomerIndex(table.customers, previous?.customers),
      priorities: table.customers &&
        new PriorityLevels(table.routes, table.customers),
      sinceMs: this.#clock.now(),
    };
    this.#log("config_in_force", {
      version: table.version,
      previous: currentVersion,
      routes: table.routes.length,
      services: table.services.size,
      customers: table.customers?.length,
    });
    for (const listener of this.#listeners) listener(table);
    return true;
  }
}
