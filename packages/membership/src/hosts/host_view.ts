/** A daemon's view of the backend servers, combined from all its sources. */
import type { BackendServer, LoadHint } from "@sassafrascleat/protocol";

/** The platform's host list, which lags behind; undefined if it could not be read. */
export interface HostSource {
  list(signal: AbortSignal): Promise<BackendServer[] | undefined>;
}

/** Backend servers by pool. All methods are synchronous. */
export interface HostView {
  /**
   * A bounded subset of the backend servers of `pool` that accept new requests,
   * same availability zone first.
   */
  candidates(pool: string): readonly BackendServer[];
  /** The backend server called `name`, even if it is leaving; undefined if unknown. */
  find(name: string): BackendServer | undefined;
  /** Every known backend server, with its state. */
  all(): readonly BackendServer[];
  /** Records a sidecar's report about itself, which takes precedence over the host list. */
  observe(name: string, incarnation: string, hint: LoadHint): void;
  /**
   * Records a failed call to a sidecar: its backend server is excluded for a
   * time, then sorted last until a call succeeds.
   */
  observeFailure(name: string): void;
}
