/** Host list, rendezvous subsets, pool orders and the configuration relay between daemons. */
export {
  FOLLOWERS_PER_HEAD,
  MIN_HEADS_PER_ZONE,
  PULL_WAIT_MS,
  SUBSET_SIZE,
} from "./constants.ts";
export {
  createHostView,
  type HostViewOptions,
  type ResolvedHostViewOptions,
  resolveHostViewOptions,
  type RunningHostView,
} from "./hosts/create_host_view.ts";
export type { HostSource, HostView } from "./hosts/host_view.ts";
export {
  createHttpHostSource,
  type HttpHostSourceOptions,
} from "./hosts/http_host_source.ts";
export {
  type ChangeLogFollower,
  type ChangeLogFollowerOptions,
  createChangeLogFollower,
} from "./relay/change_log_follower.ts";
export {
  createRelay,
  type Relay,
  type RelayOptions,
  type ResolvedRelayOptions,
  resolveRelayOptions,
} from "./relay/create_relay.ts";
export { Staleness } from "./relay/freshness.ts";
export {
  createStaticPeers,
  mergePeerSources,
  type PeerSource,
  type RelayPeer,
} from "./relay/peer.ts";
export { createPeerClient, type PeerClient } from "./relay/peer_client.ts";
export {
  createStorePresence,
  type Presence,
  type PresenceOptions,
  type PresenceReporter,
} from "./relay/presence.ts";
export type { OfficeStatus, RelayStatus, ZoneStatus } from "./relay/status.ts";
export {
  createOrderIssuer,
  type OrderIssuer,
  type OrderIssuerOptions,
  type PoolProgress,
} from "./orders/order_issuer.ts";
