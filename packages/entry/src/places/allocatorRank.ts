/** Which VM gives out the places of a data centre, and who stands in for it. */
import type { MemberFact } from '@spoolplank/membership';
import { rankByRendezvous } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';

export interface AllocatorRankOptions {
  readonly clock: Clock;
  /** Entries that are heard of. */
  readonly listEntries: () => readonly MemberFact[];
}

export interface AllocatorRank {
  /** The VM to ask for places of a data centre; undefined when there is none. */
  find(dataCentre: string): MemberFact | undefined;
  /** Notes that a VM did not answer: the next one of its data centre stands in for a while. */
  noteFailure(host: string): void;
}

interface Ranking {
  readonly names: string;
  readonly order: readonly string[];
}

/** A VM that ended is unheard of after 2.6 s; one that was only slow is asked again after this. */
const FAILED_FOR_MS = 2000;

export function createAllocatorRank({ clock, listEntries }: AllocatorRankOptions): AllocatorRank {
  const failedAtMs = new Map<string, number>();
  const ranked = new Map<string, Ranking>();

  /** Hashing sixty names for each request is dear: the order holds while the names are the same. */
  function rankHosts(dataCentre: string, hosts: readonly string[]): readonly string[] {
    const names = hosts.join(' ');
    const known = ranked.get(dataCentre);
    if (known?.names === names) return known.order;
    const order = rankByRendezvous(dataCentre, hosts);
    ranked.set(dataCentre, { names, order });
    return order;
  }

  function hasFailed(host: string): boolean {
    return clock.nowMs() - (failedAtMs.get(host) ?? Number.NEGATIVE_INFINITY) < FAILED_FOR_MS;
  }

  return {
    find(dataCentre) {
      const candidates = listEntries().filter(
        (entry) =>
          entry.dataCentre === dataCentre &&
          entry.state === 'ready' &&
          entry.peerPort !== undefined,
      );
      const order = rankHosts(
        dataCentre,
        candidates.map(({ host }) => host),
      );
      const first = order.find((host) => !hasFailed(host));
      return candidates.find(({ host }) => host === first);
    },
    noteFailure(host) {
      failedAtMs.set(host, clock.nowMs());
    },
  };
}
