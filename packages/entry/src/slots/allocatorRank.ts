/**
 * Selects the VM that allocates the slots of a data centre's chains, and its fallback. A slot is
 * the permission to put the load of one request on a chain of engines.
 */
import type { MemberFact } from '@spoolplank/membership';
import { rankByRendezvous } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';

export interface AllocatorRankOptions {
  readonly clock: Clock;
  /** All known entry VMs; the same list only while none of them has changed. */
  readonly listEntries: () => readonly MemberFact[];
}

export interface AllocatorRank {
  /** The VM to ask for slots of a data centre; undefined if none is available. */
  find(dataCentre: string): MemberFact | undefined;
  /**
   * The host of the VM that the other VMs ask, as far as this VM knows. A VM that only timed out
   * towards this VM remains the owner, as it may still allocate slots to others.
   */
  findOwner(dataCentre: string): string | undefined;
  /** Records that a VM answered, which clears its failures. */
  recordAnswer(host: string): void;
  /**
   * Records that a VM refuses connections or has no configuration yet. The next VM in the ranking
   * replaces it for `UNAVAILABLE_MS`.
   */
  recordUnavailable(host: string): void;
  /**
   * Records that a VM did not answer in time. It may be overloaded, and its fallback would be
   * overloaded too, so no VM is asked for `TIMEOUT_BACKOFF_MS`; the next one is asked only after
   * repeated timeouts.
   */
  recordTimeout(host: string): void;
}

/** VMs that may allocate the slots of a data centre. */
interface Candidates {
  /** The list of entries that they were selected from. */
  readonly entries: readonly MemberFact[];
  readonly members: readonly MemberFact[];
  readonly order: readonly string[];
}

interface Ranking {
  readonly names: string;
  readonly order: readonly string[];
}

/**
 * Time for which an unavailable VM is skipped. A VM that has stopped is removed from the member
 * list after 2.6 s; one that was only slow is asked again after this time.
 */
const UNAVAILABLE_MS = 2000;
/**
 * Pause after a timeout. Three timeouts with two pauses take about a second, which covers the slow
 * answers in the first second after a loss of all VMs.
 */
const TIMEOUT_BACKOFF_MS = 300;
/**
 * Consecutive timeouts after which a VM counts as unavailable, as a short overload does not explain
 * them.
 */
const MAX_TIMEOUTS = 3;

/** Failures of another VM, as observed by this VM. */
interface Health {
  /**
   * Until then the VM is neither asked nor regarded as the owner, because it refused a connection
   * or had no configuration.
   */
  readonly refusedUntilMs: number;
  /** Until then the next VM is asked instead, for that reason or after `MAX_TIMEOUTS`. */
  readonly unavailableUntilMs: number;
  /** Until then neither the VM nor the next one is asked, after a single timeout. */
  readonly backoffUntilMs: number;
  /** Consecutive timeouts. */
  readonly timeouts: number;
}

const HEALTHY: Health = {
  refusedUntilMs: 0,
  unavailableUntilMs: 0,
  backoffUntilMs: 0,
  timeouts: 0,
};

export function createAllocatorRank({ clock, listEntries }: AllocatorRankOptions): AllocatorRank {
  const healths = new Map<string, Health>();
  const rankings = new Map<string, Ranking>();
  const candidates = new Map<string, Candidates>();

  /**
   * Caches the order while the names are unchanged; hashing sixty names for each request is
   * expensive.
   */
  function rankHosts(dataCentre: string, hosts: readonly string[]): readonly string[] {
    const names = hosts.join(' ');
    const known = rankings.get(dataCentre);
    if (known?.names === names) return known.order;
    const order = rankByRendezvous(dataCentre, hosts);
    rankings.set(dataCentre, { names, order });
    return order;
  }

  const healthOf = (host: string): Health => healths.get(host) ?? HEALTHY;

  function rankEntries(dataCentre: string, entries: readonly MemberFact[]): Candidates {
    const members = entries.filter(
      (entry) =>
        entry.dataCentre === dataCentre && entry.state === 'ready' && entry.peerPort !== undefined,
    );
    const order = rankHosts(
      dataCentre,
      members.map(({ host }) => host),
    );
    return { entries, members, order };
  }

  /** Candidates of a data centre; they are found anew when the list of entries is another one. */
  function candidatesOf(dataCentre: string): Candidates {
    const entries = listEntries();
    const known = candidates.get(dataCentre);
    if (known?.entries === entries) return known;
    const found = rankEntries(dataCentre, entries);
    candidates.set(dataCentre, found);
    return found;
  }

  return {
    find(dataCentre) {
      const { members, order } = candidatesOf(dataCentre);
      const nowMs = clock.nowMs();
      const first = order.find((host) => healthOf(host).unavailableUntilMs <= nowMs);
      if (first === undefined || healthOf(first).backoffUntilMs > nowMs) return undefined;
      return members.find(({ host }) => host === first);
    },
    findOwner(dataCentre) {
      const nowMs = clock.nowMs();
      return candidatesOf(dataCentre).order.find((host) => healthOf(host).refusedUntilMs <= nowMs);
    },
    recordAnswer(host) {
      healths.delete(host);
    },
    recordUnavailable(host) {
      const untilMs = clock.nowMs() + UNAVAILABLE_MS;
      healths.set(host, { ...HEALTHY, refusedUntilMs: untilMs, unavailableUntilMs: untilMs });
    },
    recordTimeout(host) {
      const nowMs = clock.nowMs();
      const { backoffUntilMs, timeouts, unavailableUntilMs, refusedUntilMs } = healthOf(host);
      // Concurrent calls that time out together count as one timeout.
      if (backoffUntilMs > nowMs) return;
      const isUnavailable = timeouts + 1 >= MAX_TIMEOUTS;
      healths.set(host, {
        refusedUntilMs,
        unavailableUntilMs: isUnavailable ? nowMs + UNAVAILABLE_MS : unavailableUntilMs,
        backoffUntilMs: isUnavailable ? nowMs : nowMs + TIMEOUT_BACKOFF_MS,
        // The count is kept, so that a VM that is retried after `UNAVAILABLE_MS` becomes
        // unavailable again with its first timeout.
        timeouts: timeouts + 1,
      });
    },
  };
}
