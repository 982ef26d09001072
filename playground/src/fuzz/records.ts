/** What the fuzzed callers sent and saw. */
import type { ModelAnswer } from "../caller/model_caller.ts";
import type { PlainResult } from "../caller/plain_caller.ts";

/** How long a caller waits before a call counts as hung, in milliseconds. */
export const CALLER_PATIENCE_MS = 25_000;

/** One model request. */
export interface ModelRecord {
  prompt: string;
  tokens: number;
  cancelled: boolean;
  /** Backend servers that were told to leave before the request was sent. */
  leaving: Set<string>;
  /** Undefined when the connection was cut. */
  answer: ModelAnswer | undefined;
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
  models: ModelRecord[];
  plains: PlainRecord[];
}
