/**
 * Translation between a deployment's header names and the gateway's own types.
 * The gateway never reads or writes a deployment's header itself; each
 * deployment brings one implementation.
 */

/** One part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** The size of a generation, as far as the caller tells. */
export interface PromptShape {
  model: string;
  promptTokens: number;
  /** Most tokens that may be generated. */
  maxOutputTokens: number;
  /** The caller's estimate of the generated tokens; often far off. */
  expectedOutputTokens?: number;
  parts: readonly PromptPart[];
}

/** What a caller's headers say. */
export interface CallerFacts {
  requestId: string;
  /** How long the caller waits from now on, in milliseconds. */
  deadlineMs?: number;
  prompt?: PromptShape;
  /** The last event that the caller has, when it goes on with a stream. */
  lastEventId?: string;
}

/** What the gateway asks of the backend server beside the request itself. */
export interface Directives {
  /** Time left for the request, in milliseconds. */
  remainingMs: number;
  /** The backend server that is meant; any other one must refuse. */
  backendId: string;
  /** 0 is the most urgent. */
  priority?: number;
  /** Only read the prompt and keep the result. */
  prefillOnly?: boolean;
  /** Reservation to use. */
  holdId?: string;
  /** Where the prompt's memory lies. */
  kvSource?: KvSource;
  /** Go on after this event. */
  lastEventId?: string;
}

/** Names a prefill result at the engine that made it. */
export interface KvSource {
  /** `ip:port` of the engine. */
  address: string;
  handle: string;
}

/** What the headers of a backend server's answer say. */
export interface ReplyFacts {
  /** The request that the answer belongs to. */
  requestId?: string;
  /** The backend server proves that it did not run the request. */
  notExecuted: boolean;
  /** The backend server that answered, where it says so. */
  backendId?: string;
  /** The body is not the backend server's own bytes. */
  encoded: boolean;
}

/** Header name and value pairs in one flat list, as on the wire. */
export type RawHeaders = readonly string[];

/** A deployment's header names. */
export interface WireCodec {
  readCaller(headers: RawHeaders): CallerFacts;
  /** The headers of a caller's request as the backend server gets them. */
  toBackend(headers: RawHeaders, directives: Directives): string[];
  readReply(status: number, headers: RawHeaders): ReplyFacts;
  /** The headers of a backend server's answer as the caller gets them. */
  toCaller(headers: RawHeaders): string[];
  /** Headers of an answer by the gateway itself. */
  ownReply(requestId: string | undefined, retryAfterMs?: number): string[];
}
