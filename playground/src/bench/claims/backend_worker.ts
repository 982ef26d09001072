/** Worker thread that runs the store, the sidecar and the plain service. */
import { createHttpPlainBackend } from "@sassafrascleat/engine";
import { createSidecar } from "@sassafrascleat/sidecar";
import { createPlainServer, createStoreServer } from "@sassafrascleat/testing";
import { parentPort, workerData } from "node:worker_threads";
import {
  type BackendAddresses,
  type BackendCounts,
  BackendRequest,
} from "./backend_thread.ts";
import { PLAIN_BACKEND, SECRET } from "./plain_backend.ts";

const CONCURRENCY = 256;

const service = await createPlainServer();
const store = await createStoreServer();
store.setFaults({ delayMs: workerData.storeDelayMs });
const sidecar = await createSidecar({
  backendServer: PLAIN_BACKEND,
  host: "127.0.0.1",
  secrets: [SECRET],
  plain: createHttpPlainBackend({ baseUrl: service.address }),
  plainConcurrency: CONCURRENCY,
});

function counts(): BackendCounts {
  const { writes, reads } = store.counts();
  const executions = service.stats().total;
  return { storeWrites: writes, storeReads: reads, executions };
}

async function close(): Promise<void> {
  await sidecar.close();
  await Promise.all([service.close(), store.close()]);
  parentPort?.close();
}

parentPort?.on("message", (request: BackendRequest) => {
  if (request === BackendRequest.Close) void close();
  else parentPort?.postMessage(counts());
});

const addresses: BackendAddresses = {
  store: store.url,
  sidecar: sidecar.address,
};
parentPort?.postMessage(addresses);
