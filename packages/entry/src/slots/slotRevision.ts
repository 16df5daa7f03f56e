/**
 * Tells when a slot may have become free on the chains of a service: load was released, or a chain
 * changed. Until then, a request that found no slot need not be tried again.
 *
 * The load of the chains is compared rather than counted by messages, as it also falls when a lease
 * expires or when the load that a former allocator had granted is no longer reported.
 */
import type { RatedChain } from '../dispatch/chainCatalog';

export interface SlotRevisionOptions {
  /** The same array for as long as no chain changes. */
  readonly listChains: () => readonly RatedChain[];
  readonly inFlightOn: (headId: string) => number;
}

/** Returns a number that increases when a slot may have become free. */
export function createSlotRevision({ listChains, inFlightOn }: SlotRevisionOptions): () => number {
  /** Load of each present chain; every restart of a first engine adds a chain. */
  let loads = new Map<string, number>();
  let known: readonly RatedChain[] | undefined;
  let revision = 0;

  return () => {
    const chains = listChains();
    let isChanged = chains !== known;
    known = chains;
    if (isChanged) loads = new Map();
    chains.forEach(({ headId }) => {
      const load = inFlightOn(headId);
      if (load < (loads.get(headId) ?? 0)) isChanged = true;
      loads.set(headId, load);
    });
    if (isChanged) revision += 1;
    return revision;
  };
}
