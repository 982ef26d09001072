/**
 * Backend servers as a sidecar sees them. Implementations speak the platform's
 * HTTP form; tests and the `dev` role use the stand-ins over the same form.
 */
import type {
  FinishReason,
  KvHandle,
  OrderRequest,
  PlainAnswer,
} from "@sassafrascleat/protocol";

/** Result of an engine call that may fail. */
export enum EngineStatus {
  Ok = "ok",
  /** The engine refused: no slot, no memory, unknown request. */
  Refused = "refused",
  /** The engine could not be reached, or its answer was lost. */
  Unreachable = "unreachable",
  /** The prefill result had expired. */
  Expired = "expired",
  /** A transfer did not finish in time. */
  TransferFailed = "transfer_failed",
}

export interface EngineFailure {
  status: Exclude<EngineStatus, EngineStatus.Ok>;
  message: string;
}

/** Load as the engine reports it, some time ago. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /** Highest number of decode requests in a batch. */
  maxRunning: number;
  totalPieces: number;
  usedPieces: number;
  /** Time of the last decode step, in milliseconds. */
  stepMs: number;
  /** Prompt tokens a second of the last prefills. */
  prefillRate: number;
  queuedTokens: number;
}

/** A cache event: pieces that were added to or evicted from the prefix cache. */
export interface CacheEvent {
  /** Grows by 1; a gap means that events were lost. */
  number: number;
  added: string[];
  evicted: string[];
}

export interface EnginePrefillRequest {
  /** Unique for the engine; `requestId/attempt`. A repeat joins the first. */
  id: string;
  model: string;
  prompt: string;
  generated: string[];
  /** Length of the prompt, `generated` left out. */
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
  generated: string[];
  /** Length of the prompt, `generated` left out. */
  promptTokens: number;
  /** Tokens still wanted, not counting `generated`. */
  maxOutputTokens: number;
  priority: number;
  /** The prefill result to import. */
  kv: KvHandle;
  /** Longest time for the import, in milliseconds. */
  transferTimeoutMs: number;
}

/** What an engine sends while it decodes. */
export enum EngineEventKind {
  Tokens = "tokens",
  End = "end",
  /** The engine dropped the request or was lost. */
  Lost = "lost",
}

export type EngineEvent =
  | { kind: EngineEventKind.Tokens; offset: number; tokens: string[] }
  | { kind: EngineEventKind.End; offset: number; finish: FinishReason }
  | { kind: EngineEventKind.Lost; message: string };

/**
 * A begun decode. Offsets count the tokens of this attempt, those in
 * `generated` left out. The events end with `End` or `Lost`; when they end
 * without either, the connection broke and the stream can be resumed.
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
  /** Imports the prefill result and starts; resolves when decoding has begun. */
  decode(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult>;
  /** Continues the event stream of a request that the engine holds. */
  resume(
    id: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult>;
  /** Frees everything held for `id`; true when the engine answered. */
  cancel(id: string): Promise<boolean>;
  /** Ids of everything that the engine holds; undefined when unreachable. */
  held(): Promise<string[] | undefined>;
  load(): Promise<EngineLoad | undefined>;
  cacheEvents(afterNumber: number): Promise<CacheEvent[] | undefined>;
  /** All pieces in the prefix cache now. */
  cacheSnapshot(): Promise<{ number: number; pieces: string[] } | undefined>;
  order(req: OrderRequest): Promise<boolean>;
}

export interface EnginePlainRequest {
  /** Call id that the service may log. */
  id: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBase64: string;
  timeoutMs: number;
}

export type EnginePlainResult =
  | { status: EngineStatus.Ok; answer: PlainAnswer }
  /** `sent` is false only when no byte of the call left the sidecar. */
  | { status: EngineStatus.Unreachable; sent: boolean; message: string };

/** A plain service. */
export interface PlainBackend {
  call(
    req: EnginePlainRequest,
    signal: AbortSignal,
  ): Promise<EnginePlainResult>;
}
