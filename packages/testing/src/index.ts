/** Stand-ins for the platform and the engines, and a fault-injecting proxy. */
export * from "./engine/index.ts";
export * from "./proxy/index.ts";
export * from "./store/index.ts";
