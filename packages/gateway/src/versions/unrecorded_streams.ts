/**
 * Streams that began without a record. Usually their version is the default and
 * stays so until they can't be resumed. A router that was cut off may learn that
 * others have chosen another default meanwhile; its streams are recorded then.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";

/** A stream that has no record. */
export interface UnrecordedStream {
  id: string;
  service: string;
  version: string;
  /** When it began, in clock milliseconds. */
  beganMs: number;
}

/** Most streams that are remembered. */
const MAX_STREAMS = 65_536;

/** Remembers the streams of one router that have no record. */
export class UnrecordedStreams {
  readonly #clock: Clock;
  readonly #retainMs: number;
  readonly #streams = new LRUCache<string, UnrecordedStream>({
    max: MAX_STREAMS,
  });

  /** `retainMs` is how long a stream can be resumed, in milliseconds. */
  constructor(clock: Clock, retainMs: number) {
    this.#clock = clock;
    this.#retainMs = retainMs;
  }

  /** Remembers a stream that begins without a record. */
  add(id: string, service: string, version: string): void {
    if (this.#streams.has(id)) return;
    const beganMs = this.#clock.now();
    this.#streams.set(id, { id, service, version, beganMs });
  }

  /** Forgets a stream that has ended, or has a record now. */
  delete(id: string): void {
    this.#streams.delete(id);
  }

  /** Streams that can be resumed and would be taken for ones of another version. */
  contradicting(
    defaultOf: (service: string) => string | undefined,
  ): UnrecordedStream[] {
    const sinceMs = this.#clock.now() - this.#retainMs;
    return [...this.#streams.values()].filter(
      ({ service, version, beganMs }) =>
        beganMs > sinceMs && (defaultOf(service) ?? version) !== version,
    );
  }
}
