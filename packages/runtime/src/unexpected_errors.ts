/**
 * Keeps a process running after unexpected errors. One malformed message must
 * not end all the other requests of the process: the error is logged, the work
 * that threw it is lost, everything else goes on. That holds however often it
 * happens, since a peer that can cause one error can cause many.
 */
import type { EventEmitter } from "node:events";
import { errorMessage } from "./error.ts";
import type { Logger } from "./log.ts";

/** Options of {@link surviveUnexpectedErrors}. */
export interface UnexpectedErrorOptions {
  log: Logger;
  /** Called for each error. @default nothing */
  onError?: () => void;
  /** Emits the events of the process. @default process */
  emitter?: EventEmitter;
}

const STACK_LINES = 4;

/** Logs uncaught exceptions and unhandled rejections instead of exiting. */
export function surviveUnexpectedErrors(options: UnexpectedErrorOptions): void {
  const { log, onError, emitter = process } = options;
  const record = (kind: string) => (err: unknown) => {
    log("unexpected_error", {
      kind,
      message: errorMessage(err),
      stack: stackOf(err),
    });
    onError?.();
  };
  emitter.on("uncaughtException", record("exception"));
  emitter.on("unhandledRejection", record("rejection"));
}

function stackOf(err: unknown): string | undefined {
  if (!(err instanceof Error)) return undefined;
  const lines = err.stack?.split("\n").slice(1, 1 + STACK_LINES) ?? [];
  return lines.map((line) => line.trim()).join(" | ");
}
