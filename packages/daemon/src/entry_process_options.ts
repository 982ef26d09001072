/** Options of an entry process. */
import type { HostSource, RelayPeer } from "@sassafrascleat/membership";
import type { PolicyName } from "@sassafrascleat/routing";
import type { Secret } from "@sassafrascleat/runtime";
import type { ObjectStore } from "@sassafrascleat/store";

/** An address to bind. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Parts, addresses and limits of one entry process. */
export interface EntryProcessOptions {
  id: string;
  office: string;
  availabilityZone: string;
  callers: ListenAddress;
  operators: ListenAddress;
  system: ListenAddress;
  operatorSecrets: readonly Secret[];
  /** Secrets of calls between daemons: the first is sent, all are accepted. */
  systemSecrets: readonly [Secret, ...Secret[]];
  store: ObjectStore;
  hostSource: HostSource;
  peers: readonly RelayPeer[];
  hostRefreshMs: number;
  subsetSize: number;
  placement: PolicyName;
  drainTimeoutMs: number;
}
