/** `GET /v1/addresses`: which entry VMs a caller or backend server should use, and for how long. */
import type { Announcement } from '@spoolplank/membership';
import type { VmAddress } from '@spoolplank/settings';
import { toCallerAddress } from '@spoolplank/vm';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

export interface WeightedAddress {
  readonly address: string;
  readonly dataCentre: string;
  /** Share of requests to send there. */
  readonly weight: number;
}

export interface AddressAnswer {
  readonly addresses: readonly WeightedAddress[];
  /** How long to keep this answer; differs a little, so that not all callers ask at once. */
  readonly keepMs: number;
  /** With `for=NAME`: where that backend server announces itself, as host:port. */
  readonly registrars?: readonly string[];
}

const STAGGER = 0.2;
const LOCAL_FACTOR = 3;
const FULL_SHARE = 0.95;

function toAddress({ host, port }: Announcement): string {
  return `${host}:${port}`;
}

/** Entry VMs that take requests, those of a data centre weighing more. */
export function listEntryAddresses(
  context: EntryContext,
  dataCentre: string | undefined,
): readonly WeightedAddress[] {
  const capacity = Math.max(1, context.admissionControl.capacity);
  const live = context.directorySync.directory
    .listLive()
    .map(({ announcement }) => announcement)
    .filter(({ services }) => services.includes(ENTRY_SERVICE));
  const roomy = live.filter(({ load }) => load.running < capacity * FULL_SHARE);
  return (roomy.length > 0 ? roomy : live)
    .map((announcement) => {
      const spare = Math.max(1, capacity - announcement.load.running - announcement.load.queued);
      const factor = announcement.dataCentre === dataCentre ? LOCAL_FACTOR : 1;
      return {
        address: toAddress(announcement),
        dataCentre: announcement.dataCentre,
        weight: Math.round(spare * factor),
      };
    })
    .sort((a, b) => b.weight - a.weight || (a.address < b.address ? -1 : 1));
}

/** Addresses for a refusal: where else to go. */
export function listOtherAddresses(context: EntryContext): readonly string[] {
  const own = toCallerAddress(context.settings.vm);
  return listEntryAddresses(context, context.settings.vm.dataCentre)
    .map(({ address }) => address)
    .filter((address) => address !== own);
}

export function answerAddresses(context: EntryContext, url: URL): AddressAnswer {
  const dataCentre = url.searchParams.get('dataCentre') ?? undefined;
  const name = url.searchParams.get('for');
  const stagger = 1 + STAGGER * (context.random.nextFloat() - 0.5);
  const answer = {
    addresses: listEntryAddresses(context, dataCentre),
    keepMs: Math.round(context.timings.addressTtlMs * stagger),
  };
  if (name === null) return answer;
  const registrars = context.directorySync.registrarsFor(
    name,
    dataCentre ?? context.settings.vm.dataCentre,
  );
  return { ...answer, registrars: registrars.map((vm: VmAddress) => toCallerAddress(vm)) };
}
