/**
 * Credits with which borrowers save one retry more than a tenth of what their requests earn. A
 * borrower with few requests needs one to save a whole retry.
 */
import type { Clock } from '@spoolplank/shared';

export interface SavingCreditsOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  /** Time for which a credit counts once it can no longer be used. */
  readonly countedMs: number;
}

export interface SavingCredits {
  has(borrower: string): boolean;
  /** Gives a credit, or renews it. */
  grant(borrower: string): void;
  /** Number of credits that count. */
  count(): number;
}

/** Time after the request for a credit for which it may be used. */
export const CREDIT_VALIDITY_MS = 2000;

export function createSavingCredits({ clock, countedMs }: SavingCreditsOptions): SavingCredits {
  /** When each borrower was granted its credit last, the earliest first. */
  const grantedAtMs = new Map<string, number>();

  function dropExpired(): void {
    const oldestMs = clock.steadyMs() - CREDIT_VALIDITY_MS - countedMs;
    for (const [borrower, atMs] of grantedAtMs) {
      if (atMs >= oldestMs) return;
      grantedAtMs.delete(borrower);
    }
  }

  return {
    has(borrower) {
      dropExpired();
      return grantedAtMs.has(borrower);
    },
    grant(borrower) {
      grantedAtMs.delete(borrower);
      grantedAtMs.set(borrower, clock.steadyMs());
    },
    count() {
      dropExpired();
      return grantedAtMs.size;
    },
  };
}
