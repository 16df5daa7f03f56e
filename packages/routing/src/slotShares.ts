/**
 * Accounts for the slots that the classes of a service were granted. A class is the set of requests
 * of routes with the same priority.
 *
 * A burst of a patient class, or of an urgent one after it, exceeds the capacity for some seconds,
 * more so while chains are out. The urgent class then takes precedence. Without a guaranteed share
 * the patient class would get no slot at all for as long as the burst lasts, and its callers would
 * leave.
 */
import type { Clock } from '@spoolplank/shared';

/** What a request asks for, and on whose account. */
export interface SlotClaim {
  /** Priority of the organisation; 0 is the highest. */
  readonly priority: number;
  /** Priority of the route; 0 is the highest. */
  readonly classPriority: number;
  /** Cost of the slot, relative to a request of usual size. */
  readonly cost: number;
}

export type ClassOf = Pick<SlotClaim, 'priority' | 'classPriority'>;

export interface ClassSharesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Share of the granted cost that each waiting class is guaranteed. */
  readonly minShare: number;
}

export interface ClassShares {
  /** Records that a request of a class began to wait; `leave` that one stopped waiting. */
  join(of: ClassOf): void;
  leave(of: ClassOf): void;
  charge(claim: SlotClaim): void;
  /** Takes back the charge for a slot that was not used. */
  refund(claim: SlotClaim): void;
  /**
   * The class that was granted least of its guaranteed share, among the waiting classes of the
   * organisations of one priority; undefined if each has its share.
   */
  findOwed(priority: number): number | undefined;
  /** Share of the granted cost by class, over the last two seconds. */
  list(): readonly (readonly [classPriority: number, share: number])[];
}

/** Time over which shares are measured. */
const WINDOW_MS = 2000;
/**
 * Cost that a class must be owed before it gets its first slot. Half of a usual request keeps a
 * class that waits only now and then from taking precedence at once.
 */
const MIN_OWED_COST = 0.5;

/** A granted cost, or a negative one that was taken back. */
interface Charge {
  readonly atMs: number;
  readonly account: ClassAccount;
  readonly cost: number;
}

/** Granted cost in the window, and since the start. */
interface Sums {
  recent: number;
  total: number;
}

/** The classes of the organisations of one priority. */
interface Level extends Sums {
  readonly classes: Map<number, ClassAccount>;
}

interface ClassAccount extends Sums {
  readonly level: Level;
  waiting: number;
  /** When the class began to wait, and the sums at that time. */
  waitingSinceMs: number;
  totalBefore: number;
  levelTotalBefore: number;
}

export function createClassShares({ clock, minShare }: ClassSharesOptions): ClassShares {
  const levels = new Map<number, Level>();
  const charges: Charge[] = [];
  /** Index of the oldest charge in the window. */
  let oldest = 0;

  function accountOf({ priority, classPriority }: ClassOf): ClassAccount {
    const level = levels.get(priority) ?? { recent: 0, total: 0, classes: new Map() };
    levels.set(priority, level);
    const known = level.classes.get(classPriority);
    if (known) return known;
    const sums = { recent: 0, total: 0, totalBefore: 0, levelTotalBefore: 0 };
    const created: ClassAccount = { level, waiting: 0, waitingSinceMs: 0, ...sums };
    level.classes.set(classPriority, created);
    return created;
  }

  function add(account: ClassAccount, cost: number): void {
    account.recent += cost;
    account.level.recent += cost;
  }

  /** Removes old charges. Each is removed once, so the cost of a call is constant on average. */
  function expire(): void {
    const fromMs = clock.nowMs() - WINDOW_MS;
    for (;;) {
      const charge = charges[oldest];
      if (!charge || charge.atMs >= fromMs) break;
      add(charge.account, -charge.cost);
      oldest += 1;
    }
    if (oldest * 2 <= charges.length) return;
    charges.splice(0, oldest);
    oldest = 0;
  }

  function record(claim: SlotClaim, cost: number): void {
    expire();
    const account = accountOf(claim);
    charges.push({ atMs: clock.nowMs(), account, cost });
    add(account, cost);
    account.total += cost;
    account.level.total += cost;
  }

  /**
   * Cost granted to the class and to all classes of its level, since the class began to wait and at
   * most in the window. A class is not owed a share of what was granted while it did not wait.
   */
  function grantedWhileWaiting(account: ClassAccount): readonly [own: number, all: number] {
    const { level } = account;
    if (clock.nowMs() - account.waitingSinceMs >= WINDOW_MS) return [account.recent, level.recent];
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
      expire();
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
      expire();
      const sums = new Map<number, number>();
      let all = 0;
      levels.forEach(({ recent, classes }) => {
        all += recent;
        classes.forEach((account, name) => sums.set(name, (sums.get(name) ?? 0) + account.recent));
      });
      return [...sums]
        .sort(([a], [b]) => a - b)
        .map(([name, sum]) => [name, all > 0 ? sum / all : 0] as const);
    },
  };
}
