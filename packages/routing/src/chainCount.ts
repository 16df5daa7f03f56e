/** Chooses the number of chains of a data centre and assigns its engines to them. */
import { usualHeldTokens } from './requestSize';
import type { ModelDescription } from './routingDocument';

/** An engine as a member of a chain. */
export interface ChainMember {
  readonly id: string;
  readonly memoryMb: number;
  readonly stepFactor: number;
  /** Maximum number of concurrent requests as the first engine of a chain. */
  readonly slots: number;
}

/** Upper bound of the search. */
const MAX_CHAINS = 16;
/** Usable share of the memory: whole layers do not fill the memory of an engine exactly. */
const USABLE_MEMORY_SHARE = 0.92;
const BYTES_PER_MB = 1_000_000;

/** Memory of a running request of usual size over all layers, in MB. */
export function requestMemoryMb(model: ModelDescription): number {
  return (usualHeldTokens(model) * model.tokenBytes) / BYTES_PER_MB;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/**
 * Returns the number of chains with which the engines of a data centre hold most requests. Few
 * chains are limited by the slots of their first engines, many chains by the memory that remains
 * beside the weights, as every additional chain needs memory for another copy of the weights.
 */
export function planChainCount(members: readonly ChainMember[], model: ModelDescription): number {
  const memoryMb = members.reduce((sum, member) => sum + member.memoryMb, 0) * USABLE_MEMORY_SHARE;
  const weightsMb = model.layers * model.layerMb;
  const slotsPerHead = mean(members.map(({ slots }) => slots));
  let best = 1;
  let bestRequests = 0;
  for (let chains = 1; chains <= MAX_CHAINS; chains += 1) {
    const byMemory = (memoryMb - chains * weightsMb) / requestMemoryMb(model);
    const requests = Math.min(byMemory, chains * slotsPerHead);
    if (requests > bestRequests) {
      best = chains;
      bestRequests = requests;
    }
  }
  return best;
}

const sumMemory = (members: readonly ChainMember[]): number =>
  members.reduce((sum, { memoryMb }) => sum + memoryMb, 0);

/**
 * Splits engines into chains of similar memory and speed. Engines are assigned in descending order
 * of memory, each to the chain with the least memory so far; each chain is then sorted by speed,
 * the fastest engine first. Kinds with more memory are faster, so balancing memory balances speed.
 *
 * Source: Graham, "Bounds on multiprocessing timing anomalies", 1969 (list scheduling).
 */
export function splitIntoChains<Member extends ChainMember>(
  members: readonly Member[],
  chains: number,
): readonly (readonly Member[])[] {
  const groups: Member[][] = Array.from({ length: chains }, () => []);
  const largestFirst = [...members].sort((a, b) => b.memoryMb - a.memoryMb);
  largestFirst.forEach((member) => {
    const smallest = groups.reduce((best, group) =>
      sumMemory(group) < sumMemory(best) ? group : best,
    );
    smallest.push(member);
  });
  return groups.map((group) => group.sort((a, b) => a.stepFactor - b.stepFactor));
}
