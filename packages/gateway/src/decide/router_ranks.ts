/**
 * Ranks the routers for each backend server by rendezvous hashing over their
 * names. All routers that know each other's names compute the same ranks without
 * exchanging messages, so those of the lowest ranks can act for all of them.
 */
import { rankCandidates } from "@sassafrascleat/runtime";

/** The names of all routers, and the rank of this one. */
export class RouterRanks {
  readonly #routerName: string;
  #names: readonly string[] = [];

  constructor(routerName: string) {
    this.#routerName = routerName;
  }

  /** Number of known routers, this one included; 0 until they are known. */
  get count(): number {
    return this.#names.length;
  }

  /** Sets the names of all routers; that of this one is added. */
  setRouters(names: readonly string[]): void {
    this.#names = [...new Set([...names, this.#routerName])];
  }

  /** This router's rank for a backend server, 0 for the first. */
  rankFor(key: string): number {
    const ranked = rankCandidates(key, this.#names, (name) => name);
    return Math.max(0, ranked.indexOf(this.#routerName));
  }
}
