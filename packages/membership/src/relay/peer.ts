/** Daemons that a relay can pull from, and the sources that list them. */

/** A daemon that configuration can be pulled from. */
export interface RelayPeer {
  daemonId: string;
  office: string;
  availabilityZone: string;
  /** Base URL of its system listener, `http://ip:port`. */
  address: string;
}

/** Lists the peers of a daemon. */
export interface PeerSource {
  /** The known peers; undefined if the source could not be read. May include the calling daemon. */
  peers(signal: AbortSignal): Promise<RelayPeer[] | undefined>;
}

/** Creates a source with a fixed list of peers, from the settings of the process. */
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
 * Merges sources. If several list the same peer, the last one applies. The
 * result is undefined only if every source is.
 */
export function mergePeerSources(...sources: PeerSource[]): PeerSource {
  return new MergedPeers(sources);
}

class MergedPeers implements PeerSource {
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
