/** `GET /v1/addresses`: the entry VMs that a caller or backend server should use, with a TTL. */
import type { Announcement } from '@spoolplank/membership';
import type { VmAddress } from '@spoolplank/settings';
import { toCallerAddress } from '@spoolplank/vm';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

export interface WeightedAddress {
  readonly address: string;
  readonly dataCentre: string;
  /** Relative share of requests to send to this address. */
  readonly weight: number;
}

export interface AddressAnswer {
  readonly addresses: readonly WeightedAddress[];
  /** Cache time of this answer, with jitter so that callers do not all refresh at once. */
  readonly keepMs: number;
  /** With `for=NAME`: addresses, as host:port, at which that backend server announces itself. */
  readonly registrars?: readonly string[];
}

const CACHE_TIME_JITTER = 0.2;
const LOCAL_WEIGHT_FACTOR = 3;
const FULL_LOAD_SHARE = 0.95;

function toAddress({ host, port }: Announcement): string {
  return `${host}:${port}`;
}

/** Live entry VMs, weighted by spare capacity and in favour of one data centre. */
export function listEntryAddresses(
  context: EntryContext,
  dataCentre: string | undefined,
): readonly WeightedAddress[] {
  const capacity = Math.max(1, context.admissionControl.capacity);
  const live = context.directorySync.directory
    .listAvailable()
    .map(({ announcement }) => announcement)
    .filter(({ services }) => services.includes(ENTRY_SERVICE));
  const belowFullLoad = live.filter(({ load }) => load.running < capacity * FULL_LOAD_SHARE);
  return (belowFullLoad.length > 0 ? belowFullLoad : live)
    .map((announcement) => {
      const spareCapacity = Math.max(
        1,
        capacity - announcement.load.running - announcement.load.queued,
      );
      const localityFactor = announcement.dataCentre === dataCentre ? LOCAL_WEIGHT_FACTOR : 1;
      return {
        address: toAddress(announcement),
        dataCentre: announcement.dataCentre,
        weight: Math.round(spareCapacity * localityFactor),
      };
    })
    .sort((a, b) => b.weight - a.weight || (a.address < b.address ? -1 : 1));
}

/** Addresses of other entry VMs, for an error answer that tells the caller to retry elsewhere. */
export function listOtherAddresses(context: EntryContext): readonly string[] {
  const ownAddress = toCallerAddress(context.settings.vm);
  return listEntryAddresses(context, context.settings.vm.dataCentre)
    .map(({ address }) => address)
    .filter((address) => address !== ownAddress);
}

export function answerAddresses(context: EntryContext, url: URL): AddressAnswer {
  const dataCentre = url.searchParams.get('dataCentre') ?? undefined;
  const name = url.searchParams.get('for');
  const jitterFactor = 1 + CACHE_TIME_JITTER * (context.random.nextFloat() - 0.5);
  const answer = {
    addresses: listEntryAddresses(context, dataCentre),
    keepMs: Math.round(context.timings.addressTtlMs * jitterFactor),
  };
  if (name === null) return answer;
  const registrars = context.directorySync.registrarsFor(
    name,
    dataCentre ?? context.settings.vm.dataCentre,
  );
  return { ...answer, registrars: registrars.map((vm: VmAddress) => toCallerAddress(vm)) };
}
