/**
 * Simulated engines, a simulated platform API and a fault-injecting proxy, for
 * tests and local development.
 */
export * from "./engine/index.ts";
export * from "./proxy/index.ts";
export * from "./store/index.ts";
