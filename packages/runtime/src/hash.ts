/** Rendezvous hashing: when a candidate is removed, only the keys that it ranked first for are reassigned. */
import murmurhash from "murmurhash";

/** Returns the 32-bit rank of `candidate` for `key`; the highest rank wins. */
export function rendezvousRank(key: string, candidate: string): number {
  return murmurhash.v3(`${key}\u0000${candidate}`);
}

/** Returns `candidates` sorted by descending rank for `key`, then by name. */
export function rankCandidates<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): T[] {
  const ranked = candidates.map((node) => {
    const name = nameOf(node);
    return { node, name, rank: rendezvousRank(key, name) };
  });
  ranked.sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1));
  return ranked.map((item) => item.node);
}
