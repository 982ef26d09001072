/** Daemons that a relay can pull from, and where it learns of them. */

/** Another daemon. */
export interface RelayPeer {
  daemonId: string;
  office: string;
  availabilityZone: string;
  /** Base address of its system listener, `http://ip:port`. */
  address: string;
}

/** Where a daemon learns of its peers. */
export interface PeerSource {
  /** The peers known, the daemon itself left out; undefined when unreadable. */
  peers(signal: AbortSignal): Promise<RelayPeer[] | undefined>;
}

/** A fixed list of peers, from the settings of the process. */
export function createStaticPeers(peers: readonly RelayPeer[]): PeerSource {
  return new StaticPeers(peers);
}

class StaticPeers implements PeerSource {
  readonly #peers: readonly RelayPeer[];

  constructor(peers: readonly RelayPeer[]) {
    this.#peers = peers;
  }

  peers(): Promise<RelayPeer[]> {
    return Promise.resolve([...this.#peers]);
  }
}

/**
 * Joins sources; a peer named by several counts once, by the last of them.
 * Unreadable only when every source is.
 */
export function joinPeerSources(...sources: PeerSource[]): PeerSource {
  return new JoinedPeers(sources);
}

class JoinedPeers implements PeerSource {
  readonly #sources: readonly PeerSource[];

  constructor(sources: readonly PeerSource[]) {
    this.#sources = sources;
  }

  async peers(signal: AbortSignal): Promise<RelayPeer[] | undefined> {
    const lists = await Promise.all(
      this.#sources.map((source) => source.peers(signal)),
    );
    if (lists.every((list) => list === undefined)) return undefined;
    const byId = new Map<string, RelayPeer>();
    for (const peer of lists.flatMap((list) => list ?? [])) {
      byId.set(peer.daemonId, peer);
    }
    return [...byId.values()];
  }
}
