import type { Random } from '@spoolplank/shared';
import type { RoutingView } from './routingView';

export interface AddressBookOptions {
  readonly view: RoutingView;
  readonly random: Random;
  /** This entry's own address; null while it takes no requests. */
  readonly ownAddress: () => string | null;
  /** Address by which this entry is known, to tell it from the others. */
  readonly selfAddress: string;
}

export interface AddressBook {
  /** Addresses that a caller should connect to, at most 64, in the caller's data centre first. */
  list(dataCentre: string): readonly string[];
}

const MAX_ADDRESSES = 64;
/** With fewer in the caller's data centre, the loss of one would leave it none to turn to. */
const MIN_LOCAL = 2;

export function createAddressBook(options: AddressBookOptions): AddressBook {
  const { view, selfAddress } = options;

  return {
    list(dataCentre) {
      const others = view
        .listMembers('entry')
        .filter(({ state, callerAddress }) => state === 'ready' && callerAddress !== selfAddress);
      const own = options.ownAddress();
      const members = others.map((member) => ({
        address: member.callerAddress ?? '',
        dataCentre: member.dataCentre,
      }));
      const ownMember = view
        .listMembers('entry')
        .find(({ callerAddress }) => callerAddress === selfAddress);
      if (own !== null) members.push({ address: own, dataCentre: ownMember?.dataCentre ?? '' });
      const local = members.filter((member) => member.dataCentre === dataCentre);
      const chosen = local.length >= MIN_LOCAL ? local : members;
      return [...new Set(chosen.map(({ address }) => address))].slice(0, MAX_ADDRESSES);
    },
  };
}
