/** Reports when the confirmation of the document becomes overdue, and when it is renewed. */
import type { DocumentCache } from './documentCache';

export interface OverdueConfirmation {
  readonly version: number | undefined;
  readonly confirmedAgeMs: number;
}

export interface RenewedConfirmation {
  readonly version: number | undefined;
  /** The highest age that was observed while the confirmation was overdue. */
  readonly highestAgeMs: number;
}

export interface ConfirmationWatchOptions {
  readonly documents: DocumentCache<{ readonly version: number }>;
  /** Age from which a confirmation is overdue. */
  readonly overdueMs: number;
  readonly onOverdue: (report: OverdueConfirmation) => void;
  readonly onRenewed: (report: RenewedConfirmation) => void;
}

export interface ConfirmationWatch {
  /** Evaluates the age; called periodically. */
  tick(): void;
}

export function createConfirmationWatch(options: ConfirmationWatchOptions): ConfirmationWatch {
  const { documents, overdueMs, onOverdue, onRenewed } = options;
  /** Null before the first confirmation, whose absence at the start is not reported. */
  let isOverdue: boolean | null = null;
  let highestAgeMs = 0;

  return {
    tick() {
      const ageMs = documents.confirmedAgeMs();
      const isNowOverdue = ageMs >= overdueMs;
      if (isOverdue === null) {
        if (!isNowOverdue) isOverdue = false;
        return;
      }
      if (isNowOverdue) highestAgeMs = Math.max(highestAgeMs, ageMs);
      if (isNowOverdue === isOverdue) return;
      isOverdue = isNowOverdue;
      const version = documents.current?.version;
      if (isOverdue) {
        onOverdue({ version, confirmedAgeMs: Math.round(ageMs) });
        return;
      }
      onRenewed({ version, highestAgeMs: Math.round(highestAgeMs) });
      highestAgeMs = 0;
    },
  };
}
