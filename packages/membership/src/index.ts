/** Host list, rendezvous subsets, pool orders and the configuration relay between daemons. */
export {
  FOLLOWERS_PER_HEAD,
  HEADS_PER_ZONE,
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
  createChangeLogFollower,
  type StoreFollowerOptions,
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
  joinPeerSources,
  type PeerSource,
  type RelayPeer,
} from "./relay/peer.ts";
export { createPeerClient, type PeerClient } from "./relay/peer_client.ts";
export {
  createStorePresence,
  type Presence,
  type PresenceOptions,
  type PresenceSubject,
} from "./relay/presence.ts";
export type { OfficeStatus, RelayStatus, ZoneStatus } from "./relay/status.ts";
export {
  createOrderIssuer,
  type OrderIssuer,
  type OrderIssuerOptions,
  type PoolProgress,
} from "./orders/order_issuer.ts";
