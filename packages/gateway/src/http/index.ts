/** HTTP connections to callers and to backend servers. */
export * from "./wire_codec.ts";
export {
  type ResponseHead,
  Upstream,
  type UpstreamOptions,
} from "./upstream.ts";
export {
  CallFailure,
  type ResponseFlowControl,
  type ResponseHandler,
  type UpstreamRequest,
} from "./upstream_call.ts";
export {
  exchange,
  type ExchangeFailure,
  ExchangeOutcome,
  type ExchangeResponse,
  type ExchangeResult,
} from "./exchange.ts";
export { type CompleteEvents, EventSplitter } from "./event_splitter.ts";
export { findHeader } from "./lean_request.ts";
