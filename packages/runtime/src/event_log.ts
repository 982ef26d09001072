/**
 * Structured logs on standard output: one line of key=value pairs per event.
 * `sonic-boom` writes the lines asynchronously; if the reader is too slow, lines
 * are dropped and the process is not blocked, not at its exit either. The number
 * of lines per second is limited for each kind of event, and suppressed lines are
 * counted and reported in a `log_suppressed` event.
 */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import sonicBoom from "sonic-boom";
import { systemClock } from "./clock.ts";
import { formatEvent, type LogFields, type Logger } from "./log.ts";

/** Options of an event log. */
export interface EventLogOptions {
  /** File descriptor to write to. @default 1 */
  fd?: number;
  /** Maximum lines per second for each kind of event. @default 150 */
  linesPerSecond?: number;
  /** Maximum number of buffered bytes. @default 262144 */
  maxPendingBytes?: number;
  /** Fields added to every line. */
  base?: LogFields;
}

/** A logger that has to be closed. */
export interface EventLog {
  readonly log: Logger;
  /** Number of lines suppressed or dropped so far. */
  readonly suppressed: number;
  /** Adds fields to every line from now on. */
  addBase(fields: LogFields): void;
  /** Writes the buffered lines and closes the log. */
  close(): void;
}

const STANDARD_OUTPUT = 1;
const LINES_PER_SECOND = 150;
const MAX_PENDING_BYTES = 256 * 1024;
const FLUSH_BYTES = 2_048;
const FLUSH_INTERVAL_MS = 250;
const WINDOW_MS = 1_000;

interface EventWindow {
  startMs: number;
  lines: number;
  suppressed: number;
}

/** Creates an event log that writes to a file descriptor. */
export function createEventLog(options: EventLogOptions = {}): EventLog {
  return new BackgroundLog(options);
}

class BackgroundLog implements EventLog {
  readonly #out: InstanceType<typeof sonicBoom.SonicBoom>;
  readonly #limit: number;
  #base: LogFields;
  readonly #windows = new Map<string, EventWindow>();
  #suppressed = 0;
  #closing = false;

  constructor(options: EventLogOptions) {
    const fd = options.fd ?? STANDARD_OUTPUT;
    unblock(fd);
    this.#limit = options.linesPerSecond ?? LINES_PER_SECOND;
    this.#base = options.base ?? {};
    this.#out = new sonicBoom.SonicBoom({
      fd,
      sync: false,
      minLength: FLUSH_BYTES,
      maxLength: options.maxPendingBytes ?? MAX_PENDING_BYTES,
      periodicFlush: FLUSH_INTERVAL_MS,
      retryEAGAIN: () => !this.#closing,
    });
    this.#out.on("drop", () => {
      this.#suppressed += 1;
    });
    // The reader has closed the pipe: lines are lost, with nowhere to report it.
    this.#out.on("error", () => {
      this.#suppressed += 1;
    });
  }

  get suppressed(): number {
    return this.#suppressed;
  }

  addBase(fields: LogFields): void {
    this.#base = { ...this.#base, ...fields };
  }

  readonly log: Logger = (event, fields = {}) => {
    const window = this.#window(event);
    window.lines += 1;
    if (window.lines > this.#limit) {
      window.suppressed += 1;
      this.#suppressed += 1;
      return;
    }
    this.#write(event, fields);
  };

  close(): void {
    this.#closing = true;
    try {
      this.#out.flushSync();
    } catch (_err) {
      // The pipe is full or its reader gone: there is nowhere to report it.
      this.#suppressed += 1;
    }
    this.#out.end();
  }

  #window(event: string): EventWindow {
    const nowMs = systemClock.now();
    const window = this.#windows.get(event);
    if (window && nowMs - window.startMs < WINDOW_MS) return window;
    const newWindow = { startMs: nowMs, lines: 0, suppressed: 0 };
    this.#windows.set(event, newWindow);
    if (window && window.suppressed > 0) {
      this.#write("log_suppressed", { of: event, lines: window.suppressed });
    }
    return newWindow;
  }

  #write(event: string, fields: LogFields): void {
    const time = new Date().toISOString();
    this.#out.write(
      `time=${time} ${formatEvent(event, { ...this.#base, ...fields })}\n`,
    );
  }
}

/**
 * Has writes to a full pipe fail instead of waiting: a thread that waits in a
 * write would keep the process from its exit.
 */
function unblock(fd: number): void {
  try {
    const stats = fstatSync(fd);
    // Its handle makes the descriptor non-blocking.
    if (stats.isFIFO() || stats.isSocket()) new Socket({ fd, readable: false });
  } catch (_err) {
    // A descriptor that is closed: the first write reports it.
  }
}
