/** Records of the callers' requests and the results they received. */
import type { ModelAnswer } from "../caller/model_caller.ts";
import type { PlainResult } from "../caller/plain_caller.ts";

/** Time after which a call counts as hung, in milliseconds. */
export const CALLER_TIMEOUT_MS = 25_000;

/** One model request. */
export interface ModelRecord {
  prompt: string;
  tokens: number;
  cancelled: boolean;
  /** Backend servers that were already leaving when the request was sent. */
  leaving: Set<string>;
  /** Number of chunks of a streamed answer that have arrived. */
  chunks: number;
  /** Undefined if the connection was cut. */
  answer: ModelAnswer | undefined;
  ended: boolean;
  hung: boolean;
}

/** One call to the plain service. */
export interface PlainRecord {
  body: string;
  key: string | undefined;
  repeatable: boolean;
  /** Backend servers that were leaving when the body was first sent. */
  leaving: Set<string>;
  result: PlainResult | undefined;
  hung: boolean;
}

/** All calls of one run. */
export interface CallRecords {
  modelRequests: ModelRecord[];
  plainCalls: PlainRecord[];
}
