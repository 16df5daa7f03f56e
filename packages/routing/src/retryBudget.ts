/** Limits retries to a share of the traffic, so that a failure does not cause a retry storm. */
export interface RetryBudgetOptions {
  /** Retries earned per first attempt. */
  readonly share?: number;
  /** Maximum number of accumulated retries; allows retries at low traffic. */
  readonly maxSaved?: number;
}

export interface RetryBudget {
  readonly saved: number;
  /** Counts a first attempt. */
  earn(): void;
  /** Takes one retry out of the budget; false when none is left. */
  spend(): boolean;
}

const DEFAULT_SHARE = 0.1;
const DEFAULT_MAX_SAVED = 20;

export function createRetryBudget({
  share = DEFAULT_SHARE,
  maxSaved = DEFAULT_MAX_SAVED,
}: RetryBudgetOptions = {}): RetryBudget {
  let saved = maxSaved;
  return {
    get saved() {
      return saved;
    },
    earn() {
      saved = Math.min(maxSaved, saved + share);
    },
    spend() {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}
