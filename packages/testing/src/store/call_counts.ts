/** Counts of store calls, which the real platform charges for. */

export enum StoreCall {
  Get = "get",
  Put = "put",
  Delete = "delete",
  List = "list",
  Watch = "watch",
  Hosts = "hosts",
}

/** Calls since the start; a long-polling watch counts as one read. */
export interface StoreCounts {
  byCall: Record<StoreCall, number>;
  reads: number;
  writes: number;
}

/** Returns whether a call counts as a write. */
export function isWrite(call: StoreCall): boolean {
  return call === StoreCall.Put || call === StoreCall.Delete;
}

export class CallCounter {
  readonly #counts = new Map<StoreCall, number>();

  add(call: StoreCall): void {
    this.#counts.set(call, (this.#counts.get(call) ?? 0) + 1);
  }

  counts(): StoreCounts {
    const counts: StoreCounts = {
      byCall: { get: 0, put: 0, delete: 0, list: 0, watch: 0, hosts: 0 },
      reads: 0,
      writes: 0,
    };
    for (const [call, count] of this.#counts) {
      counts.byCall[call] = count;
      if (isWrite(call)) counts.writes += count;
      else counts.reads += count;
    }
    return counts;
  }
}
