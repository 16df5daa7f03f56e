/**
 * Accounts for what each organisation was granted by its virtual time, so that organisations share
 * by the cost of their requests.
 *
 * Source: start-time fair queueing; Goyal, Vin and Cheng, 1996.
 */
import { createSortedList } from './sortedList';

export interface OrganisationShares {
  /** Records that a request of an organisation began to wait; `leave` that one stopped waiting. */
  join(organisation: string): void;
  leave(organisation: string): void;
  /** Charges the cost of a slot, divided by the weight of the organisation. */
  charge(organisation: string, weightedCost: number): void;
  /** Takes back the charge for a slot that was not used. */
  refund(organisation: string, weightedCost: number): void;
  /** Charges a slot that was granted elsewhere, and says nothing of who is served now. */
  chargeElsewhere(organisation: string, weightedCost: number): void;
  /** Virtual start time of the next request of an organisation; the earliest is served next. */
  startOf(organisation: string): number;
  /** How far the start time is after that of the organisation that is served next. */
  leadOf(organisation: string): number;
  /** Forgets all charges, once no organisation waits. */
  reset(): void;
}

/** Number of charges after which organisations without a claim are removed. */
const PRUNE_EVERY = 1000;

interface Account {
  readonly sequence: number;
  start: number;
  waiting: number;
}

export interface OrganisationSharesOptions {
  /**
   * Whether a request may be served before those of organisations with earlier start times, as it
   * can still be in time. Its start time is then not that of organisations that begin to wait:
   * they begin at that of the organisation that is served next.
   */
  readonly isOutOfOrder?: boolean;
}

export function createOrganisationShares({
  isOutOfOrder = false,
}: OrganisationSharesOptions = {}): OrganisationShares {
  const accounts = new Map<string, Account>();
  /** Organisations with waiting requests, by their start time. */
  const waiting = createSortedList<Account>((a, b) => a.start - b.start || a.sequence - b.sequence);
  /** Start time of organisations that begin to wait. */
  let virtualTime = 0;
  let charges = 0;
  let sequence = 0;

  /** An organisation that did not wait accumulates no credit. */
  function startOf(organisation: string): number {
    const account = accounts.get(organisation);
    if (!account) return virtualTime;
    return account.waiting > 0 ? account.start : Math.max(account.start, virtualTime);
  }

  function findOrCreate(organisation: string): Account {
    const known = accounts.get(organisation);
    if (known) return known;
    sequence += 1;
    const created = { sequence, start: virtualTime, waiting: 0 };
    accounts.set(organisation, created);
    return created;
  }

  function update(organisation: string, start: number, joining = 0): void {
    const account = findOrCreate(organisation);
    if (account.waiting > 0) waiting.remove(account);
    account.start = start;
    account.waiting += joining;
    if (account.waiting > 0) waiting.add(account);
  }

  function prune(): void {
    charges += 1;
    if (charges % PRUNE_EVERY > 0) return;
    accounts.forEach((account, organisation) => {
      const isIdle = account.waiting === 0 && account.start <= virtualTime;
      if (isIdle) accounts.delete(organisation);
    });
  }

  return {
    join: (organisation) => update(organisation, startOf(organisation), 1),
    leave: (organisation) => update(organisation, startOf(organisation), -1),
    charge(organisation, weightedCost) {
      const start = startOf(organisation);
      const earliest = waiting.at(0)?.start ?? start;
      virtualTime = isOutOfOrder ? Math.min(start, earliest) : start;
      update(organisation, start + weightedCost);
      prune();
    },
    refund: (organisation, weightedCost) =>
      update(organisation, startOf(organisation) - weightedCost),
    chargeElsewhere: (organisation, weightedCost) =>
      update(organisation, startOf(organisation) + weightedCost),
    startOf,
    leadOf: (organisation) => startOf(organisation) - (waiting.at(0)?.start ?? virtualTime),
    reset() {
      accounts.clear();
      virtualTime = 0;
    },
  };
}
