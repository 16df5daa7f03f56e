/**
 * Accounts for the slots that the classes of a service, and the organisations in each class, were
 * granted. A class is the set of requests of routes with the same priority.
 *
 * A burst of a patient class, or of an urgent one after it, exceeds the capacity for some seconds,
 * more so while chains are out. The urgent class then takes precedence. Without a guaranteed share
 * the patient class would get no slot at all for as long as the burst lasts, and its callers would
 * leave.
 *
 * An organisation that sends ten times its usual requests, whose callers retry several times at
 * once, or hang up and come back, takes slots from all others if each request counts the same.
 * Organisations therefore share by the cost of what they were granted.
 *
 * Source: start-time fair queueing; Goyal, Vin and Cheng, 1996.
 */
import type { Clock } from '@spoolplank/shared';
import { createSortedList } from './sortedList';

/** What a request asks for, and on whose account. */
export interface SlotClaim {
  /** Priority of the organisation; 0 is the highest. */
  readonly priority: number;
  /** Priority of the route; 0 is the highest. */
  readonly classPriority: number;
  /** Empty if unknown. */
  readonly organisation: string;
  /** Weight of the organisation, above 0. */
  readonly weight: number;
  /** Cost of the slot, relative to a request of usual size. */
  readonly cost: number;
}

export type ClassOf = Pick<SlotClaim, 'priority' | 'classPriority'>;
type ClassClaim = Omit<SlotClaim, 'organisation' | 'weight'>;

export interface ClassSharesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Share of the granted cost that each waiting class is guaranteed. */
  readonly minShare: number;
}

export interface ClassShares {
  /** Records that a request of a class began to wait; `leave` that one stopped waiting. */
  join(of: ClassOf): void;
  leave(of: ClassOf): void;
  charge(claim: ClassClaim): void;
  /** Takes back the charge for a slot that was not used. */
  refund(claim: ClassClaim): void;
  /**
   * The class that was granted least of its guaranteed share, among the waiting classes of the
   * organisations of one priority; undefined if each has its share.
   */
  findOwed(priority: number): number | undefined;
  /** Share of the granted cost by class, over the last two seconds. */
  list(): readonly (readonly [classPriority: number, share: number])[];
}

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

/** Time over which shares are measured. */
const WINDOW_MS = 2000;
/**
 * Cost that a class must be owed before it gets its first slot. Half of a usual request keeps a
 * class that waits only now and then from taking precedence at once.
 */
const MIN_OWED_COST = 0.5;

interface Charge<Key> {
  readonly atMs: number;
  readonly key: Key;
  readonly cost: number;
}

/** Sums the costs of the last two seconds by key. */
function createRecentCosts<Key>({ clock }: Pick<ClassSharesOptions, 'clock'>) {
  const sums = new Map<Key, number>();
  const counts = new Map<Key, number>();
  const charges: Charge<Key>[] = [];
  /** Index of the oldest charge in the window. */
  let oldest = 0;

  function remove({ key, cost }: Charge<Key>): void {
    const left = (counts.get(key) ?? 0) - 1;
    counts.set(key, left);
    sums.set(key, (sums.get(key) ?? 0) - cost);
    if (left > 0) return;
    counts.delete(key);
    sums.delete(key);
  }

  /** Removes old charges. Each is removed once, so the cost of a call is constant on average. */
  function expire(): void {
    const fromMs = clock.nowMs() - WINDOW_MS;
    for (;;) {
      const charge = charges[oldest];
      if (!charge || charge.atMs >= fromMs) break;
      remove(charge);
      oldest += 1;
    }
    if (oldest * 2 <= charges.length) return;
    charges.splice(0, oldest);
    oldest = 0;
  }

  return {
    /** Adds a cost, or a negative one that is taken back. */
    add(key: Key, cost: number): void {
      expire();
      charges.push({ atMs: clock.nowMs(), key, cost });
      counts.set(key, (counts.get(key) ?? 0) + 1);
      sums.set(key, (sums.get(key) ?? 0) + cost);
    },
    sumOf(key: Key): number {
      expire();
      return sums.get(key) ?? 0;
    },
    list(): ReadonlyMap<Key, number> {
      expire();
      return sums;
    },
  };
}

/** The classes of the organisations of one priority. */
interface Level {
  /** Granted cost since the start. */
  total: number;
  readonly classes: Map<number, ClassAccount>;
}

interface ClassAccount {
  readonly level: Level;
  /** Granted cost since the start. */
  total: number;
  waiting: number;
  /** When the class began to wait, and the sums at that time. */
  waitingSinceMs: number;
  totalBefore: number;
  levelTotalBefore: number;
}

export function createClassShares({ clock, minShare }: ClassSharesOptions): ClassShares {
  const levels = new Map<number, Level>();
  const recent = createRecentCosts<ClassAccount | Level>({ clock });

  function accountOf({ priority, classPriority }: ClassOf): ClassAccount {
    const level = levels.get(priority) ?? { total: 0, classes: new Map() };
    levels.set(priority, level);
    const known = level.classes.get(classPriority);
    if (known) return known;
    const sums = { total: 0, totalBefore: 0, levelTotalBefore: 0 };
    const created: ClassAccount = { level, waiting: 0, waitingSinceMs: 0, ...sums };
    level.classes.set(classPriority, created);
    return created;
  }

  function record(claim: ClassClaim, cost: number): void {
    const account = accountOf(claim);
    [account, account.level].forEach((part) => {
      recent.add(part, cost);
      part.total += cost;
    });
  }

  /**
   * Cost granted to the class and to all classes of its level, since the class began to wait and at
   * most in the window. A class is not owed a share of what was granted while it did not wait.
   */
  function grantedWhileWaiting(account: ClassAccount): readonly [own: number, all: number] {
    const { level } = account;
    if (clock.nowMs() - account.waitingSinceMs >= WINDOW_MS) {
      return [recent.sumOf(account), recent.sumOf(level)];
    }
    return [account.total - account.totalBefore, level.total - account.levelTotalBefore];
  }

  return {
    join(of) {
      const account = accountOf(of);
      account.waiting += 1;
      if (account.waiting > 1) return;
      account.waitingSinceMs = clock.nowMs();
      account.totalBefore = account.total;
      account.levelTotalBefore = account.level.total;
    },
    leave(of) {
      accountOf(of).waiting -= 1;
    },
    charge: (claim) => record(claim, claim.cost),
    refund: (claim) => record(claim, -claim.cost),
    findOwed(priority) {
      const classes = levels.get(priority)?.classes;
      if (!classes || classes.size < 2 || minShare === 0) return undefined;
      let owed: number | undefined;
      let leastShare = Number.POSITIVE_INFINITY;
      classes.forEach((account, classPriority) => {
        if (account.waiting === 0) return;
        const [own, all] = grantedWhileWaiting(account);
        const isOwed = minShare * all > Math.max(own, MIN_OWED_COST);
        if (!isOwed || own / all >= leastShare) return;
        owed = classPriority;
        leastShare = own / all;
      });
      return owed;
    },
    list() {
      const sums = new Map<number, number>();
      let all = 0;
      levels.forEach((level) => {
        all += recent.sumOf(level);
        level.classes.forEach((account, name) =>
          sums.set(name, (sums.get(name) ?? 0) + recent.sumOf(account)),
        );
      });
      return [...sums]
        .sort(([a], [b]) => a - b)
        .map(([name, sum]) => [name, all > 0 ? sum / all : 0] as const);
    },
  };
}

export interface SlotSharesOptions extends ClassSharesOptions {
  /** Whether organisations share by cost; otherwise all have the same round. */
  readonly isShared: boolean;
}

/** Shares of the classes of a service, and of the organisations in each class. */
export interface SlotShares extends Pick<ClassShares, 'findOwed'> {
  join(claim: SlotClaim): void;
  leave(claim: SlotClaim): void;
  charge(claim: SlotClaim): void;
  refund(claim: SlotClaim): void;
  /** Charges a slot that another allocator granted. */
  chargeElsewhere(claim: SlotClaim): void;
  /** Virtual start time of the organisation's next request, in usual requests at weight 1. */
  startOf(claim: SlotClaim): number;
  /** Whether the organisation was granted clearly more for its weight than another that waits. */
  isAhead(claim: SlotClaim): boolean;
  /** The organisation of the lowest round is served next. */
  roundOf(claim: SlotClaim): number;
  describe(): SharesReport;
}

/** What classes and organisations were granted over the last two seconds. */
export interface SharesReport {
  /** Share of the granted cost by class. */
  readonly classes: Readonly<Record<string, number>>;
  /** Granted cost of the organisations with most of it. */
  readonly organisations: Readonly<Record<string, number>>;
}

/**
 * Organisations whose shares differ by less count as equal, and are served in the order of their
 * requests. This keeps more requests in time in a short queue than strict turns would.
 */
export const ROUND_COST = 2;
/**
 * Lead from which the retries of an organisation have no precedence over other requests. Retries
 * are served before late requests and, at the end of their wait, before all others. An organisation
 * whose callers retry several times at once would otherwise get more slots than its share.
 */
const AHEAD_COST = ROUND_COST;
/** Number of organisations in a report. */
const MAX_REPORTED = 10;
/** Decimal places of reported costs and shares, as a factor. */
const REPORT_STEPS = 1000;

const roundForReport = (value: number): number => Math.round(value * REPORT_STEPS) / REPORT_STEPS;

export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const { isShared } = options;
  const classes = createClassShares(options);
  const byClass = new Map<string, OrganisationShares>();
  const recent = createRecentCosts<string>(options);

  function organisationsOf({ priority, classPriority }: ClassOf): OrganisationShares {
    const name = `${priority} ${classPriority}`;
    const known = byClass.get(name);
    if (known) return known;
    const created = createOrganisationShares({ isOutOfOrder: true });
    byClass.set(name, created);
    return created;
  }

  const startOf = (claim: SlotClaim): number => organisationsOf(claim).startOf(claim.organisation);

  return {
    findOwed: classes.findOwed,
    join(claim) {
      classes.join(claim);
      organisationsOf(claim).join(claim.organisation);
    },
    leave(claim) {
      classes.leave(claim);
      organisationsOf(claim).leave(claim.organisation);
    },
    charge(claim) {
      classes.charge(claim);
      recent.add(claim.organisation, claim.cost);
      organisationsOf(claim).charge(claim.organisation, claim.cost / claim.weight);
    },
    refund(claim) {
      classes.refund(claim);
      recent.add(claim.organisation, -claim.cost);
      organisationsOf(claim).refund(claim.organisation, claim.cost / claim.weight);
    },
    chargeElsewhere(claim) {
      organisationsOf(claim).chargeElsewhere(claim.organisation, claim.cost / claim.weight);
    },
    startOf,
    isAhead: (claim) => isShared && organisationsOf(claim).leadOf(claim.organisation) >= AHEAD_COST,
    roundOf: (claim) => (isShared ? Math.floor(startOf(claim) / ROUND_COST) : 0),
    describe() {
      const shares = classes.list().map(([name, share]) => [name, roundForReport(share)]);
      const costs = [...recent.list()]
        .sort(([, a], [, b]) => b - a)
        .slice(0, MAX_REPORTED)
        .map(([name, cost]) => [name, roundForReport(cost)]);
      return { classes: Object.fromEntries(shares), organisations: Object.fromEntries(costs) };
    },
  };
}
