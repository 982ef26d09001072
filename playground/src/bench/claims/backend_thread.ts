/** Main-thread handle of the worker with store, sidecar and plain service. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** Addresses at which the backend listens. */
export interface BackendAddresses {
  store: string;
  sidecar: string;
}

/** Store calls and executions since the backend started. */
export interface BackendCounts {
  storeWrites: number;
  storeReads: number;
  executions: number;
}

/** Messages from the main thread to the worker. */
export enum BackendRequest {
  Counts = "counts",
  Close = "close",
}

/** A backend in a worker thread. */
export interface BackendThread {
  addresses: BackendAddresses;
  counts(): Promise<BackendCounts>;
  close(): Promise<void>;
}

/** Starts the backend; each call to its store takes `storeDelayMs`. */
export async function startBackend(
  storeDelayMs: number,
): Promise<BackendThread> {
  const url = new URL("./backend_worker.js", import.meta.url);
  const worker = new Worker(url, { workerData: { storeDelayMs } });
  const [addresses] = await once(worker, "message");
  return {
    addresses,
    async counts() {
      worker.postMessage(BackendRequest.Counts);
      const [counts] = await once(worker, "message");
      return counts;
    },
    async close() {
      worker.postMessage(BackendRequest.Close);
      await once(worker, "exit");
    },
  };
}
