/**
 * Wire format of the engine API: JSON bodies for short calls and
 * newline-delimited JSON for streams. On a stream the engine writes a heartbeat
 * line at least every `ENGINE_HEARTBEAT_MS`, so that a connection without data
 * can be treated as dead. Every call is idempotent by its id: a repeated call
 * joins the work that the first one started.
 */
import type {
  EngineEvent,
  EngineFailure,
  EnginePrefillResult,
} from "./engine.ts";

/** Paths of the engine's HTTP API. */
export enum EnginePath {
  Prefill = "/v1/prefill",
  Decode = "/v1/decode",
  Resume = "/v1/resume",
  Cancel = "/v1/cancel",
  Held = "/v1/held",
  Load = "/v1/load",
  CacheEvents = "/v1/cache/events",
  CacheSnapshot = "/v1/cache/snapshot",
  Order = "/v1/order",
}

/** Kinds of lines on a stream from an engine. */
export enum EngineLineKind {
  Heartbeat = "heartbeat",
  /** Decoding has started; events follow. */
  Started = "started",
  Failed = "failed",
  /** A prefill has finished. */
  Prefilled = "prefilled",
  Event = "event",
}

/** One line of a stream from an engine. */
export type EngineStreamLine =
  | { kind: EngineLineKind.Heartbeat }
  | { kind: EngineLineKind.Started }
  | { kind: EngineLineKind.Failed; failure: EngineFailure }
  | { kind: EngineLineKind.Prefilled; result: EnginePrefillResult }
  | { kind: EngineLineKind.Event; event: EngineEvent };

/** Encodes one line, including the newline. */
export function encodeEngineLine(line: EngineStreamLine): string {
  return JSON.stringify(line) + "\n";
}

/** Decodes one line; returns undefined if it is malformed. */
export function decodeEngineLine(text: string): EngineStreamLine | undefined {
  try {
    const line = JSON.parse(text) as EngineStreamLine;
    return typeof line.kind === "string" ? line : undefined;
  } catch {
    return undefined;
  }
}
