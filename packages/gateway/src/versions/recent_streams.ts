/**
 * The streams that this router has served lately and that can be resumed. Others
 * learn their versions from records or, where there is none, from the default.
 * Both can become wrong: a router that was cut off may learn that others have
 * chosen another default, and a store that was restored has lost records. The
 * router then records what it knows.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";

/** A stream that this router has forwarded events of. */
export interface RecentStream {
  id: string;
  service: string;
  version: string;
  /** Whether it has a record. */
  recorded: boolean;
}

interface RememberedStream extends RecentStream {
  /** When it began, in clock milliseconds. */
  beganMs: number;
}

/** Most streams that are remembered. */
const MAX_STREAMS = 65_536;
/** Longest text of all their ids together, which callers choose. */
const MAX_ID_CHARACTERS = 4 * 1024 * 1024;

/** Limits of a map by the ids of streams. */
export const STREAM_MAP_LIMITS = {
  max: MAX_STREAMS,
  maxSize: MAX_ID_CHARACTERS,
  sizeCalculation: (_value: unknown, id: string) => Math.max(1, id.length),
};

/** Remembers the streams of one router until they can't be resumed. */
export class RecentStreams {
  readonly #clock: Clock;
  readonly #retainMs: number;
  readonly #streams = new LRUCache<string, RememberedStream>(
    STREAM_MAP_LIMITS,
  );

  /** `retainMs` is how long a stream can be resumed, in milliseconds. */
  constructor(clock: Clock, retainMs: number) {
    this.#clock = clock;
    this.#retainMs = retainMs;
  }

  /** Remembers a stream whose first event goes to the caller. */
  add(stream: RecentStream): void {
    if (this.#streams.has(stream.id)) return;
    this.#streams.set(stream.id, { ...stream, beganMs: this.#clock.now() });
  }

  /** Notes that the stream has a record; false if it has come to its end. */
  markRecorded(id: string): boolean {
    const stream = this.#streams.get(id);
    if (stream) stream.recorded = true;
    return stream !== undefined;
  }

  /** Forgets a stream that has come to its end. */
  delete(id: string): void {
    this.#streams.delete(id);
  }

  /** Streams that can be resumed. */
  resumable(): RecentStream[] {
    const sinceMs = this.#clock.now() - this.#retainMs;
    return [...this.#streams.values()].filter(({ beganMs }) =>
      beganMs > sinceMs
    );
  }

  /** Those without a record that would be taken for ones of another version. */
  contradicting(
    defaultOf: (service: string) => string | undefined,
  ): RecentStream[] {
    return this.resumable().filter(({ recorded, service, version }) =>
      !recorded && (defaultOf(service) ?? version) !== version
    );
  }
}
