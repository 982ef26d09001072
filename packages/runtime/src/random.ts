/** Seeded random numbers, so that runs are reproducible. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers, passed in as a dependency instead of a global. */
export interface Random {
  /** A number in [0, 1). */
  float(): number;
  /** An integer in [min, max]. */
  int(min: number, max: number): number;
}

/** Creates a generator whose sequence depends only on `seed`. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  return {
    float: () => uniformFloat64(generator),
    int: (min, max) => uniformInt(generator, min, max),
  };
}

/** Returns a duration distributed uniformly over [0.5, 1.5) times `ms`. */
export function jitter(ms: number, random: Random): number {
  return ms * (0.5 + random.float());
}
