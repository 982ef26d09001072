/** HTTP connections to callers and to backend servers. */
export * from "./wire_codec.ts";
export {
  CallFailure,
  Upstream,
  type UpstreamFlow,
  type UpstreamOptions,
  type UpstreamRequest,
  type UpstreamSink,
} from "./upstream.ts";
export {
  type Answered,
  type Exchange,
  exchange,
  ExchangeEnd,
  type Failed,
} from "./exchange.ts";
export { EventSplitter, type WholeEvents } from "./event_splitter.ts";
