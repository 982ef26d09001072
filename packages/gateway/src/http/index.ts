/** HTTP connections to callers and to backend servers. */
export * from "./wire_codec.ts";
export {
  CallFailure,
  type ResponseFlowControl,
  type ResponseHandler,
  Upstream,
  type UpstreamOptions,
  type UpstreamRequest,
} from "./upstream.ts";
export {
  exchange,
  type ExchangeFailure,
  ExchangeOutcome,
  type ExchangeResponse,
  type ExchangeResult,
} from "./exchange.ts";
export { type CompleteEvents, EventSplitter } from "./event_splitter.ts";
