/** Messages between the placement bench and its worker processes. */
import type { BackendServer } from "@sassafrascleat/protocol";
import type { PolicyName } from "@sassafrascleat/routing";
import type { Deployment } from "./deployment.ts";

/** What a worker process runs. */
export enum WorkerRole {
  Engines = "engines",
  Sidecars = "sidecars",
  Entry = "entry",
}

/** Runs the simulated engines of all backend servers. */
export interface EnginesTask {
  role: WorkerRole.Engines;
  deployment: Deployment;
  backends: BackendServer[];
  seed: number;
}

/** Runs the sidecars of all backend servers. */
export interface SidecarsTask {
  role: WorkerRole.Sidecars;
  deployment: Deployment;
  backends: BackendServer[];
  secret: string;
}

/** Runs one entry. */
export interface EntryTask {
  role: WorkerRole.Entry;
  deployment: Deployment;
  backends: BackendServer[];
  secret: string;
  id: string;
  availabilityZone: string;
  policy: PolicyName;
}

/** First message to a worker, which exits when its parent disconnects. */
export type WorkerTask = EnginesTask | SidecarsTask | EntryTask;

/**
 * Reply of a worker: the addresses it listens on, in the order of `backends`.
 */
export interface WorkerStarted {
  addresses: string[];
}
