/** Reports when the confirmation of the document becomes overdue, and when it is renewed. */

export interface ConfirmationWatchOptions {
  /** Age of the last confirmation that the document is the latest; infinite without one. */
  readonly confirmedAgeMs: () => number;
  /** Age from which a confirmation is overdue. */
  readonly overdueMs: number;
  /** Called with the age of the confirmation when it becomes overdue. */
  readonly onOverdue: (confirmedAgeMs: number) => void;
  /** Called when it is renewed, with the highest age that was observed. */
  readonly onRenewed: (highestAgeMs: number) => void;
}

export interface ConfirmationWatch {
  /** Evaluates the age; called periodically. */
  tick(): void;
}

export function createConfirmationWatch(options: ConfirmationWatchOptions): ConfirmationWatch {
  const { confirmedAgeMs, overdueMs, onOverdue, onRenewed } = options;
  /** Null before the first confirmation, whose absence at the start is not reported. */
  let isOverdue: boolean | null = null;
  let highestAgeMs = 0;

  return {
    tick() {
      const ageMs = confirmedAgeMs();
      const isNowOverdue = ageMs >= overdueMs;
      if (isOverdue === null) {
        if (!isNowOverdue) isOverdue = false;
        return;
      }
      highestAgeMs = isNowOverdue ? Math.max(highestAgeMs, ageMs) : highestAgeMs;
      if (isNowOverdue === isOverdue) return;
      isOverdue = isNowOverdue;
      if (isOverdue) {
        onOverdue(ageMs);
        return;
      }
      onRenewed(highestAgeMs);
      highestAgeMs = 0;
    },
  };
}
