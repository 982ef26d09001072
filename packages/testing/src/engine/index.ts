/**
 * Simulated engines and plain HTTP services, which record what they executed so
 * that tests can check it.
 */
export { type EngineStats, type EngineStatsSnapshot } from "./engine_stats.ts";
export { type EngineFaults } from "./engine_core.ts";
export { createEngineServer, type EngineServer } from "./engine_server.ts";
export {
  expectedLength,
  ExpectedText,
  expectedText,
  expectedToken,
} from "./expected_text.ts";
export {
  type EngineServerOptions,
  type ResolvedEngineServerOptions,
  resolveEngineServerOptions,
} from "./options.ts";
export {
  createPlainServer,
  PlainFault,
  type PlainServer,
  type PlainServerOptions,
  type PlainServerStats,
} from "./plain_server.ts";
