/**
 * Interfaces through which a sidecar uses its backend server. The
 * implementations use HTTP. Tests and the `dev` role run simulated backend
 * servers behind the same HTTP API.
 */
import type {
  FinishReason,
  KvHandle,
  OrderRequest,
  PlainAnswer,
} from "@sassafrascleat/protocol";

/** Status of an engine call. */
export enum EngineStatus {
  Ok = "ok",
  /** The engine rejected the call: no free slot, no memory or unknown request. */
  Refused = "refused",
  /** The engine could not be reached, or its response was lost. */
  Unreachable = "unreachable",
  /** The prefill result has expired. */
  Expired = "expired",
  /** The transfer of the KV cache did not finish in time. */
  TransferFailed = "transfer_failed",
}

export interface EngineFailure {
  status: Exclude<EngineStatus, EngineStatus.Ok>;
  message: string;
}

/** Load as last reported by the engine; it may be out of date. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /** Maximum number of decode requests in a batch. */
  maxRunning: number;
  /** Capacity of the KV cache, in pieces of `TOKENS_PER_PIECE` tokens. */
  totalPieces: number;
  usedPieces: number;
  /** Duration of the last decode step, in milliseconds. */
  stepMs: number;
  /** Rate of the last prefills, in prompt tokens per second. */
  prefillRate: number;
  queuedTokens: number;
}

/** Pieces that were added to or evicted from the prefix cache. */
export interface CacheEvent {
  /** Sequence number, increases by 1; a gap means that events were lost. */
  number: number;
  added: string[];
  evicted: string[];
}

export interface EnginePrefillRequest {
  /**
   * `requestId/attempt`, unique per engine. A repeated call waits for the result
   * of the first one.
   */
  id: string;
  model: string;
  prompt: string;
  /** Output tokens of earlier attempts, which continue the prompt. */
  generated: string[];
  /** Length of the prompt without `generated`. */
  promptTokens: number;
  pieceHashes: string[];
  priority: number;
}

export type EnginePrefillResult =
  | {
    status: EngineStatus.Ok;
    handle: string;
    tokens: number;
    cachedTokens: number;
    ranMs: number;
    expiresInMs: number;
  }
  | EngineFailure;

export interface EngineDecodeRequest {
  id: string;
  model: string;
  prompt: string;
  /** Output tokens of earlier attempts, which continue the prompt. */
  generated: string[];
  /** Length of the prompt without `generated`. */
  promptTokens: number;
  /** Maximum number of tokens to generate in addition to `generated`. */
  maxOutputTokens: number;
  priority: number;
  /** The prefill result to import. */
  kv: KvHandle;
  /** Timeout of the import, in milliseconds. */
  transferTimeoutMs: number;
}

/** Kinds of events that an engine sends while it decodes. */
export enum EngineEventKind {
  Tokens = "tokens",
  End = "end",
  /** The engine dropped the request or failed. */
  Lost = "lost",
}

export type EngineEvent =
  | { kind: EngineEventKind.Tokens; offset: number; tokens: string[] }
  | { kind: EngineEventKind.End; offset: number; finish: FinishReason }
  | { kind: EngineEventKind.Lost; message: string };

/**
 * Result of starting or resuming a decode. Offsets count the tokens of this
 * attempt, without those in `generated`. The last event is `End` or `Lost`. If
 * the events stop without either, the connection broke and the stream can be
 * resumed.
 */
export type EngineDecodeResult =
  | { status: EngineStatus.Ok; events: AsyncIterable<EngineEvent> }
  | EngineFailure;

/** A prefill or decode engine. */
export interface Engine {
  prefill(
    req: EnginePrefillRequest,
    signal: AbortSignal,
  ): Promise<EnginePrefillResult>;
  /** Imports the prefill result and resolves when decoding has started. */
  decode(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult>;
  /** Resumes the event stream of a request that the engine still holds. */
  resume(
    id: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult>;
  /** Frees all resources of request `id`; returns true if the engine confirmed it. */
  cancel(id: string): Promise<boolean>;
  /** Ids of all requests that hold engine resources; undefined if the call failed. */
  held(): Promise<string[] | undefined>;
  load(): Promise<EngineLoad | undefined>;
  cacheEvents(afterNumber: number): Promise<CacheEvent[] | undefined>;
  /** All pieces in the prefix cache at present. */
  cacheSnapshot(): Promise<{ number: number; pieces: string[] } | undefined>;
  /** Forwards an order; returns true if the engine accepted it. */
  order(req: OrderRequest): Promise<boolean>;
}

export interface EnginePlainRequest {
  /** Call id, sent in a header so that the service can log it. */
  id: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBase64: string;
  timeoutMs: number;
}

export type EnginePlainResult =
  | { status: EngineStatus.Ok; answer: PlainAnswer }
  /** `sent` is false only if no byte of the request was written. */
  | { status: EngineStatus.Unreachable; sent: boolean; message: string };

/** A plain service: an HTTP backend server that is not a model engine. */
export interface PlainBackend {
  call(
    req: EnginePlainRequest,
    signal: AbortSignal,
  ): Promise<EnginePlainResult>;
}
