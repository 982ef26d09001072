/** Stand-in engines and plain services over HTTP, with books for oracles. */
export { type EngineBooks, type EngineBooksNow } from "./books.ts";
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
  type PlainBooks,
  PlainFault,
  type PlainServer,
  type PlainServerOptions,
} from "./plain_server.ts";
