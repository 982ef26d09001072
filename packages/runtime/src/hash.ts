/** Rendezvous hashing: stable ranks that move only the share of who leaves. */
import murmurhash from "murmurhash";

/** A 32-bit rank of `node` for `key`; the highest rank wins. */
export function rendezvousRank(key: string, candidate: string): number {
  return murmurhash.v3(`${key}\u0000${candidate}`);
}

/** `nodes` ordered by falling rank for `key`; ties by name. */
export function rankNodes<T>(
  key: string,
  nodes: readonly T[],
  nameOf: (node: T) => string,
): T[] {
  const ranked = nodes.map((node) => {
    const name = nameOf(node);
    return { node, name, rank: rendezvousRank(key, name) };
  });
  ranked.sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1));
  return ranked.map((item) => item.node);
}
