/** Seeded random numbers, so that every run can be repeated. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers that is passed in, never global. */
export interface Random {
  /** A number in [0, 1). */
  float(): number;
  /** A whole number in [min, max]. */
  int(min: number, max: number): number;
}

/** Creates a generator whose sequence depends on `seed` only. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  return {
    float: () => uniformFloat64(generator),
    int: (min, max) => uniformInt(generator, min, max),
  };
}

/** A duration spread evenly over [0.5, 1.5) of `ms`. */
export function jitter(ms: number, random: Random): number {
  return ms * (0.5 + random.float());
}
