/**
 * Selects the entries that a caller should connect to.
 *
 * When a quarter of all VMs lose power at once, a caller that knows forty addresses may have to try
 * ten dead ones, at a second each; a caller that knows six has to try one or two. So every caller
 * gets a few addresses, the same ones each time, and callers are spread over all entries.
 */
import { rankByRendezvous } from '@spoolplank/shared';
import type { RoutingView } from './gossip/routingView';

export interface AddressBookOptions {
  readonly view: RoutingView;
  /** This entry's own address; null while it does not accept requests. */
  readonly ownAddress: () => string | null;
  /** Address under which other VMs know this entry. */
  readonly selfAddress: string;
}

/** The caller that addresses are requested for. */
export interface AddressQuery {
  readonly dataCentre: string;
  /** Stable identifier of the caller, such as its host; it determines the addresses. */
  readonly caller: string;
}

export interface AddressBook {
  /** Addresses that a caller should connect to, from its own data centre if it has enough. */
  list(query: AddressQuery): readonly string[];
}

/**
 * Number of addresses for one caller. With a quarter of all VMs dead, all six addresses are dead
 * for one caller in 4,000; with four addresses this would happen to one caller in 256.
 */
const ADDRESSES_PER_CALLER = 6;
/**
 * Number of entries from which a data centre suffices for its callers; with one entry, its loss
 * would leave a caller without any address.
 */
const MIN_LOCAL_ADDRESSES = 2;

export function createAddressBook(options: AddressBookOptions): AddressBook {
  const { view, selfAddress } = options;

  return {
    list({ dataCentre, caller }) {
      const entries = view.listMembers('entry');
      const own = options.ownAddress();
      const usable = entries.filter(({ state, callerAddress }) =>
        callerAddress === selfAddress ? own !== null : state === 'ready',
      );
      const local = usable.filter((member) => member.dataCentre === dataCentre);
      const chosen = local.length >= MIN_LOCAL_ADDRESSES ? local : usable;
      const addresses = [...new Set(chosen.map(({ callerAddress }) => callerAddress ?? ''))];
      return rankByRendezvous(caller, addresses).slice(0, ADDRESSES_PER_CALLER);
    },
  };
}
