/** What a daemon believes about backend servers, from all its sources. */
import type { BackendServer, LoadHint } from "@sassafrascleat/protocol";

/** The platform's lagging list; undefined when it could not be read. */
export interface HostSource {
  list(signal: AbortSignal): Promise<BackendServer[] | undefined>;
}

/** Backend servers by pool, leaving ones left out. Never waits. */
export interface HostView {
  /** Backend servers of `pool` that may take new work; a bounded subset, same availability zone first. */
  candidates(pool: string): readonly BackendServer[];
  /** Any backend server that is still known, leaving ones included. */
  find(name: string): BackendServer | undefined;
  /** Every backend server known, with whether it leaves. */
  all(): readonly BackendServer[];
  /** Records what a sidecar said about itself; this wins over the host list. */
  observe(name: string, incarnation: string, hint: LoadHint): void;
  /** Records that a sidecar could not be reached; candidates sort it last for a while. */
  observeFailure(name: string): void;
}
