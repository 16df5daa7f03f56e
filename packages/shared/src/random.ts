import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. It is injected, so that a run can be reproduced from its seed. */
export interface Random {
  /** A number in [0, 1). */
  nextFloat(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
}

const FLOAT_STEPS = 2 ** 30;

/** Creates a source of random numbers that are determined by the seed. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    nextFloat: () => uniformInt(generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS,
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
  };
}
