/**
 * Ranks the data centres that a request asks for a slot, by the capacity that each publishes as a
 * fact, which is a record that all VMs replicate by gossip.
 */
import type { Fact, CapacityFact, ServiceCapacity } from '@spoolplank/membership';

/** A data centre that may have a free slot. */
export interface RankedDataCentre {
  readonly dataCentre: string;
  /** Whether its published load is below `CAPACITY_SHARE`, so that it probably has a free slot. */
  readonly hasCapacity: boolean;
}

export interface DataCentreRankOptions {
  /** The data centre of this VM. It is always in the result, even if its capacity is unknown. */
  readonly own: string;
  /** Capacities published by the data centres. */
  readonly capacities: readonly Fact<CapacityFact>[];
  readonly service: string;
  /** Facts received before this time on this VM's clock are ignored as stale. */
  readonly oldestMs: number;
}

/** Cost of the network path to another data centre, as a share of its capacity. */
const REMOTE_PENALTY = 0.25;
/** Load above which a data centre is treated as full, as capacities are up to two seconds old. */
const CAPACITY_SHARE = 0.8;
/**
 * Cost of a data centre without a chain, which is not asked. The own data centre is an exception:
 * it is asked last, as one of its chains may just have come back.
 */
const NO_CHAIN_COST = 10;

function costOf(service: ServiceCapacity | undefined): number {
  if (!service || service.capacity === 0) return NO_CHAIN_COST;
  return (service.inFlight + service.waiting) / service.capacity;
}

/** Returns the data centres in the order in which a request asks them. */
export function rankDataCentres(options: DataCentreRankOptions): readonly RankedDataCentre[] {
  const { own, capacities, service, oldestMs } = options;
  const newest = new Map<string, Fact<CapacityFact>>();
  capacities.forEach((fact) => {
    const known = newest.get(fact.body.dataCentre);
    const isNewer = !known || known.receivedAtMs < fact.receivedAtMs;
    if (fact.receivedAtMs >= oldestMs && isNewer) newest.set(fact.body.dataCentre, fact);
  });
  const names = new Set([own, ...newest.keys()]);
  return [...names]
    .map((dataCentre) => {
      const known = newest.get(dataCentre)?.body.services[service];
      const isOwn = dataCentre === own;
      // The own data centre is asked first while its capacity is unknown.
      const cost = isOwn && !known ? 0 : costOf(known) + (isOwn ? 0 : REMOTE_PENALTY);
      return { dataCentre, cost, hasCapacity: costOf(known) < CAPACITY_SHARE };
    })
    .filter(({ dataCentre, cost }) => dataCentre === own || cost < NO_CHAIN_COST)
    .sort((a, b) => a.cost - b.cost)
    .map(({ dataCentre, hasCapacity }) => ({ dataCentre, hasCapacity }));
}
