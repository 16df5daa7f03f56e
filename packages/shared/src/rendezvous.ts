import { createHash } from 'node:crypto';

const WEIGHT_BYTES = 6;

/**
 * Orders candidates for a key by highest random weight. All VMs that know the same candidates
 * compute the same order, and adding or removing a candidate moves only the keys of that candidate.
 *
 * Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({
      candidate,
      weight: createHash('sha1')
        .update(`${key}\n${candidate}`)
        .digest()
        .readUIntBE(0, WEIGHT_BYTES),
    }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
