/** The idempotency claims of an entry, partitioned by key. */
import { type Clock, runPeriodically } from "@sassafrascleat/runtime";
import {
  type ClaimIntent,
  type ClaimResult,
  type SettledClaim,
} from "./claim_record.ts";
import { ClaimWriter, type ClaimWriterParts } from "./claim_writer.ts";
import {
  CLAIM_KEY_PREFIX,
  CLAIM_PARTITIONS,
  CLAIM_WRITE_INTERVAL_MS,
  MAX_SETTLED_DELAY_MS,
  SEAL_BYTES,
  SETTLED_FLUSH_INTERVAL_MS,
} from "./constants.ts";
import { partitionOf } from "./idempotency_key.ts";
import { WritePacer } from "./write_pacer.ts";

/** Dependencies that the entry provides. */
export type ClaimsParts =
  & Omit<ClaimWriterParts, "pacer" | "sealBytes">
  & Partial<Pick<ClaimWriterParts, "sealBytes">>;

/** Makes claims durable before calls are dispatched. */
export class Claims {
  readonly #parts: ClaimWriterParts;
  readonly #writers = new Map<number, ClaimWriter>();

  constructor(parts: ClaimsParts) {
    const pacer = new WritePacer(parts.clock, CLAIM_WRITE_INTERVAL_MS);
    this.#parts = { sealBytes: SEAL_BYTES, ...parts, pacer };
  }

  /** Wall clock for the age of claims. */
  get wallClock(): Clock {
    return this.#parts.wallClock;
  }

  claim(intent: ClaimIntent): Promise<ClaimResult> {
    return this.#writer(intent.keyHash).submit(intent);
  }

  /** Queues the answer of a claimed call, to be written with a later batch. */
  settle(settled: SettledClaim): void {
    this.#writer(settled.keyHash).settle(settled);
  }

  /**
   * Regularly writes answers that have waited for `MAX_SETTLED_DELAY_MS`, until
   * `signal` aborts.
   */
  run(signal: AbortSignal): Promise<void> {
    return runPeriodically(
      SETTLED_FLUSH_INTERVAL_MS,
      signal,
      () => this.flush(MAX_SETTLED_DELAY_MS),
    );
  }

  /** Writes the queued answers of partitions where one has waited for `minAgeMs`. */
  async flush(minAgeMs: number): Promise<void> {
    const writers = [...this.#writers.values()];
    await Promise.all(writers.map((writer) => writer.flush(minAgeMs)));
  }

  #writer(keyHash: string): ClaimWriter {
    const partition = partitionOf(keyHash, CLAIM_PARTITIONS);
    let writer = this.#writers.get(partition);
    if (!writer) {
      const prefix = `${CLAIM_KEY_PREFIX}${partition}/`;
      writer = new ClaimWriter(prefix, this.#parts);
      this.#writers.set(partition, writer);
    }
    return writer;
  }
}
