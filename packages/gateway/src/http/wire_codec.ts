/**
 * Translates between a deployment's HTTP headers and the gateway's types. The
 * gateway itself knows no header name that is specific to a deployment; each
 * deployment provides one implementation of {@link HeaderCodec}.
 */

/** A section of a prompt, which other requests may have in common. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Model and size of a generation, as declared by the caller. */
export interface PromptInfo {
  model: string;
  promptTokens: number;
  /** Maximum number of tokens to generate. */
  maxOutputTokens: number;
  /** The caller's estimate of the generated tokens; often inaccurate. */
  expectedOutputTokens?: number;
}

/** Information from the headers of a caller's request. */
export interface RequestMetadata {
  requestId: string;
  /** Absent if the request has none, or several that differ. */
  apiKey?: string;
  /** Remaining time that the caller waits, in milliseconds. */
  deadlineMs?: number;
  prompt?: PromptInfo;
  /** Parts of the prompt in order, also of a request without `prompt`. */
  promptParts: readonly PromptPart[];
  /** Id of the last event received, if the caller resumes a stream. */
  lastEventId?: string;
  /**
   * If the caller resumes a stream: id of its request that received the first
   * event.
   */
  resumedRequestId?: string;
}

/** Tells a backend server which customer a request is from. */
export interface CustomerDirective {
  /** Absent if the request is from no known customer. */
  name?: string;
}

/** Instructions to the backend server that accompany a request. */
export interface Directives {
  /** Remaining time for the request, in milliseconds. */
  remainingMs: number;
  /** Id of the intended backend server; any other must reject the request. */
  backendId: string;
  /** 0 is the most urgent. */
  priority?: number;
  /** If present, the caller's key and customer name are not forwarded. */
  customer?: CustomerDirective;
  /** Run only the prefill and keep its result. */
  prefillOnly?: boolean;
  /** Id of the reservation to use. */
  holdId?: string;
  /** Where to fetch the KV cache of the prompt. */
  kvSource?: KvSource;
  /** Resume the stream after the event with this id. */
  lastEventId?: string;
}

/** What a control call of the router itself names. */
export interface ControlDirectives {
  /** Id of this call, which its response names; absent if it has none. */
  callId?: string;
  /** Id of the intended backend server; any other must reject the call. */
  backendId: string;
}

/** Reference to a prefill result on the engine that computed it. */
export interface KvSource {
  /** `ip:port` of the engine. */
  address: string;
  handle: string;
}

/** Information from the headers of a backend server's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  requestId?: string;
  /** The backend server states that it did not execute the request. */
  notExecuted: boolean;
  /** Id of the backend server that responded, if the response contains it. */
  backendId?: string;
  /** The body is encoded, so its bytes are not those of the backend server. */
  hasContentCoding: boolean;
}

/** What a backend server says of itself, whatever it responds to. */
export interface ServerState {
  /** Requests per second that it takes from all routers together. */
  rateLimitPerSecond?: number;
  /** Time in which it wants no requests from this router, in milliseconds. */
  pauseMs?: number;
  /** It leaves: it finishes what it runs, and accepts nothing new. */
  leaving: boolean;
}

/** Alternating header names and values, in wire order. */
export type RawHeaders = readonly string[];

/** Reads and writes the headers of a deployment. */
export interface HeaderCodec {
  parseRequest(headers: RawHeaders): RequestMetadata;
  /** Builds the headers that the backend server receives. */
  buildBackendHeaders(headers: RawHeaders, directives: Directives): string[];
  /** Builds the headers of a control call, whose body is JSON. */
  buildControlHeaders(directives: ControlDirectives): string[];
  parseResponse(status: number, headers: RawHeaders): ResponseMetadata;
  /** Parses what a backend server says of itself in each of its responses. */
  parseServerState(status: number, headers: RawHeaders): ServerState;
  /** Builds the response headers that the caller receives. */
  buildCallerHeaders(headers: RawHeaders): string[];
  /** Builds the headers of a response that the gateway generates itself. */
  buildLocalReplyHeaders(
    requestId: string | undefined,
    retryAfterMs?: number,
  ): string[];
}
