/** The operator's configuration and the entries of the engines. */

export const HOST = "kits.example";
export const LLM = "design-assistant";
export const APP = "order-desk";

const stream = {
  host: HOST,
  kind: "streaming",
  timeoutMs: 14000,
  targetLatencyMs: 900,
  priority: 1,
  service: LLM,
  stickySessions: true,
  gapAimMs: 300,
};
const plain = {
  host: HOST,
  targetLatencyMs: 100,
  priority: 2,
  service: APP,
};

/** Routes, services and limits with the figures of the site file. */
export function configSpec({ plainTimeoutMs = 1000 } = {}) {
  return {
    version: 1,
    routes: [
      {
        ...stream,
        name: "build-guide",
        pathPrefix: "/guide/",
        maxAttempts: 2,
        resumable: true,
      },
      {
        ...stream,
        name: "buyer-brief",
        pathPrefix: "/brief/",
        maxAttempts: 1,
        resumable: false,
      },
      {
        ...plain,
        name: "place-order",
        pathPrefix: "/order/",
        timeoutMs: plainTimeoutMs,
        kind: "unsafe",
        maxAttempts: 1,
      },
      {
        ...plain,
        name: "stock-check",
        pathPrefix: "/stock/",
        timeoutMs: plainTimeoutMs,
        kind: "safe",
        maxAttempts: 2,
      },
    ],
    services: [
      {
        name: LLM,
        healthCheckPath: "/health",
        maxConnections: 210,
        protocol: "h1",
        tls: false,
        engine: {
          slots: 24,
          kvCacheTokens: 42606,
          kvBytes: 18432,
          linkMbps: 370000,
          moves: true,
          backups: true,
          stride: 12,
          most: 12,
          kvHandleS: 0.5,
          stageSwitchS: 6,
          pinMs: 4000,
          holdMs: 2000,
          models: [{ name: "m" }],
        },
      },
      {
        name: APP,
        healthCheckPath: "/health",
        maxConnections: 110,
        protocol: "h1",
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/** What an engine writes of itself into the store. */
export function serverSpec(engine, changes = {}) {
  const stage = engine.stage ? { stage: engine.stage } : {};
  return {
    service: engine.stage ? LLM : APP,
    address: engine.address,
    zone: "hobart-a",
    version: "v1",
    slots: engine.stage ? 24 : 6,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 1,
    born: engine.bornMs,
    ...stage,
    ...changes,
  };
}
