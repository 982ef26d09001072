/**
 * Keeps a process running after an unexpected error. One malformed message must
 * not end all the other requests of the process: the error is logged, the work
 * that threw it is lost, everything else goes on. A process in which errors
 * repeat quickly is assumed to be broken and exits.
 */
import type { EventEmitter } from "node:events";
import { errorMessage } from "./error.ts";
import type { Logger } from "./log.ts";

/** Options of {@link surviveUnexpectedErrors}. */
export interface UnexpectedErrorOptions {
  log: Logger;
  /** Ends the process. @default process.exit(1) */
  exit?: () => void;
  /** Errors within `windowMs` after which the process exits. @default 50 */
  maxErrors?: number;
  /** @default 10000 */
  windowMs?: number;
  /** Emits the events of the process. @default process */
  emitter?: EventEmitter;
  /** Current time in milliseconds. @default performance.now */
  now?: () => number;
}

const DEFAULT_MAX_ERRORS = 50;
const DEFAULT_WINDOW_MS = 10_000;
const STACK_LINES = 4;

/** Logs uncaught exceptions and unhandled rejections instead of exiting. */
export function surviveUnexpectedErrors(options: UnexpectedErrorOptions): void {
  const { log, emitter = process, now = () => performance.now() } = options;
  const exit = options.exit ?? (() => process.exit(1));
  const maxErrors = options.maxErrors ?? DEFAULT_MAX_ERRORS;
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  let timesMs: number[] = [];
  const record = (kind: string) => (err: unknown) => {
    log("unexpected_error", {
      kind,
      message: errorMessage(err),
      stack: stackOf(err),
    });
    const nowMs = now();
    timesMs = [...timesMs.filter((at) => nowMs - at < windowMs), nowMs];
    if (timesMs.length >= maxErrors) exit();
  };
  emitter.on("uncaughtException", record("exception"));
  emitter.on("unhandledRejection", record("rejection"));
}

function stackOf(err: unknown): string | undefined {
  if (!(err instanceof Error)) return undefined;
  const lines = err.stack?.split("\n").slice(1, 1 + STACK_LINES) ?? [];
  return lines.map((line) => line.trim()).join(" | ");
}
