/**
 * Selects the VM through which a connection to a backend server is established: one of the near VMs
 * that this VM uses least, at random. The choices of many VMs then add up to an even load.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { Clock, Random } from '@spoolplank/shared';

export interface RelayChoiceOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: Random;
  /** This VM. */
  readonly host: string;
  readonly dataCentre: string;
  /** All known entry VMs. */
  readonly listEntries: () => readonly MemberFact[];
  /** The data centre of the server at an address; undefined when unknown. */
  readonly dataCentreOf: (address: string) => string | undefined;
}

export interface RelayChoice {
  /** Selects a VM that was not tried yet; undefined when there is none. */
  choose(address: string, tried: ReadonlySet<string>): MemberFact | undefined;
  /** Excludes a VM for a short time, as it did not answer or opens no tunnels now. */
  recordUnavailable(host: string): void;
  /** Excludes a VM for one server for a short time, as it does not reach it either. */
  recordUnreachable(host: string, address: string): void;
  recordOpened(host: string): void;
  recordClosed(host: string): void;
  describe(): Readonly<Record<string, number>>;
}

/** Exclusion of a VM that opened no tunnel; one that is partitioned itself stays so for seconds. */
const UNAVAILABLE_MS = 1000;

export function createRelayChoice(options: RelayChoiceOptions): RelayChoice {
  const { clock, random, host: ownHost, dataCentre, listEntries } = options;
  /** By host, or by host and address. */
  const excludedUntilMs = new Map<string, number>();
  /** Open tunnels of this VM, by the host of the relay. */
  const open = new Map<string, number>();

  function change(host: string, by: number): void {
    const count = (open.get(host) ?? 0) + by;
    if (count > 0) open.set(host, count);
    else open.delete(host);
  }

  const keyOf = (relay: string, address: string): string => `${relay} ${address}`;

  function exclude(key: string): void {
    const nowMs = clock.nowMs();
    excludedUntilMs.forEach((untilMs, known) => {
      if (untilMs <= nowMs) excludedUntilMs.delete(known);
    });
    excludedUntilMs.set(key, nowMs + UNAVAILABLE_MS);
  }

  function isExcluded(key: string): boolean {
    return (excludedUntilMs.get(key) ?? 0) > clock.nowMs();
  }

  /** Bytes cross the border of a data centre once, either way. */
  function listNear(candidates: readonly MemberFact[], address: string): readonly MemberFact[] {
    const serverDataCentre = options.dataCentreOf(address);
    const near = candidates.filter(
      (member) => member.dataCentre === dataCentre || member.dataCentre === serverDataCentre,
    );
    return near.length > 0 ? near : candidates;
  }

  return {
    choose(address, tried) {
      const candidates = listEntries().filter(
        ({ host, state, peerPort }) =>
          host !== ownHost &&
          state === 'ready' &&
          peerPort !== undefined &&
          !tried.has(host) &&
          !isExcluded(host) &&
          !isExcluded(keyOf(host, address)),
      );
      const near = listNear(candidates, address);
      const loadOf = ({ host }: MemberFact): number => open.get(host) ?? 0;
      const leastLoad = near.reduce((least, member) => Math.min(least, loadOf(member)), Infinity);
      const leastUsed = near.filter((member) => loadOf(member) === leastLoad);
      return leastUsed.length > 0 ? leastUsed[random.nextInt(leastUsed.length)] : undefined;
    },
    recordUnavailable: exclude,
    recordUnreachable: (host, address) => exclude(keyOf(host, address)),
    recordOpened: (host) => change(host, 1),
    recordClosed: (host) => change(host, -1),
    describe: () => Object.fromEntries(open),
  };
}
