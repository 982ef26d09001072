/**
 * The HTTP form of `Engine`: JSON bodies, and newline-delimited JSON for calls
 * that last. On such a stream the engine writes a heartbeat line at least every
 * `ENGINE_HEARTBEAT_MS`, so that silence means a dead connection. Every call is
 * idempotent by its id: a repeat joins the work that the first one began.
 */
import type {
  EngineEvent,
  EngineFailure,
  EnginePrefillResult,
} from "./engine.ts";

/** Paths of an engine's HTTP form. */
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
export enum WireKind {
  Heartbeat = "heartbeat",
  /** Decoding has begun; events follow. */
  Started = "started",
  Failed = "failed",
  /** A prefill ended. */
  Prefilled = "prefilled",
  Event = "event",
}

/** One line of a stream from an engine. */
export type WireLine =
  | { kind: WireKind.Heartbeat }
  | { kind: WireKind.Started }
  | { kind: WireKind.Failed; failure: EngineFailure }
  | { kind: WireKind.Prefilled; result: EnginePrefillResult }
  | { kind: WireKind.Event; event: EngineEvent };

/** One line, newline included. */
export function encodeWireLine(line: WireLine): string {
  return JSON.stringify(line) + "\n";
}

/** Decodes one line; undefined when it is not one. */
export function decodeWireLine(text: string): WireLine | undefined {
  try {
    const line = JSON.parse(text) as WireLine;
    return typeof line.kind === "string" ? line : undefined;
  } catch {
    return undefined;
  }
}
