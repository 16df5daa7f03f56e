/**
 * Accounts for what each class was granted over the last two seconds, and finds the class that is
 * owed a part of its guaranteed share. A class is the set of requests of routes with the same
 * priority.
 */
import type { Clock } from '@spoolplank/shared';
import type { SlotClaim } from './slotClaim';

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
export function createRecentCosts<Key>({ clock }: Pick<ClassSharesOptions, 'clock'>) {
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
