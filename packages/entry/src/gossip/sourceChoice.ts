/**
 * Selects the control VM with which an entry exchanges facts: the first one in order of preference,
 * or a later one while the earlier ones fail.
 */
import type { Clock } from '@spoolplank/shared';

export interface SourceChoiceOptions {
  readonly clock: Clock;
  /** Lists the control VMs in order of preference; called for each exchange. */
  readonly list: () => readonly string[];
}

export interface SourceChoice {
  /** The control VM to use now; an empty string when none is known. */
  current(): string;
  /** Records that the current control VM did not reply. */
  recordFailure(): void;
  /**
   * Records a reply, with the age of its confirmation that the settings are the latest, or null if
   * it has no confirmation. Returns whether the control VM is abandoned for the next one: a control
   * VM that is partitioned from the others still replies, but its confirmation grows old.
   */
  recordAnswer(confirmedAgeMs: number | null): boolean;
}

/**
 * Time after a failure until the preferred control VM is tried again. It is a compromise: a failed
 * attempt costs up to 1.4 s without updates, and staying with a remote control VM causes traffic
 * between data centres.
 */
const PREFERRED_RETRY_MS = 8000;
/**
 * Age from which a confirmation is too old. A control VM in contact with the leader is at most one
 * or two exchanges of 800 ms behind.
 */
const STALE_CONFIRMATION_MS = 1500;
/**
 * Minimum time between two switches, so that entries do not cycle through all control VMs while
 * none of them has a confirmation.
 */
const MIN_SWITCH_INTERVAL_MS = 1000;
/**
 * Time for which an entry stays with its control VM before the first confirmation. Until then,
 * probably no control VM has one: a group that is new, or back after a power loss, elects a leader
 * within one to two seconds. Switching is expensive, as each new control VM sends all its facts.
 */
const INITIAL_STAY_MS = 3000;

export function createSourceChoice({ clock, list }: SourceChoiceOptions): SourceChoice {
  let index = 0;
  let failedAtMs = Number.NEGATIVE_INFINITY;
  let preferred = '';
  let firstAnswerAtMs: number | null = null;
  let hasConfirmation = false;

  function recordFailure(): void {
    index += 1;
    failedAtMs = clock.nowMs();
  }

  return {
    current() {
      const sources = list();
      const [first = ''] = sources;
      // At startup only a few control VMs are known from the settings, most of them remote. A
      // nearer control VM is tried as soon as it is known, regardless of earlier failures of
      // others.
      const isNewPreferred = first !== preferred;
      preferred = first;
      if (isNewPreferred || clock.nowMs() - failedAtMs > PREFERRED_RETRY_MS) index = 0;
      return sources[index % sources.length] ?? '';
    },
    recordFailure,
    recordAnswer(confirmedAgeMs) {
      const nowMs = clock.nowMs();
      firstAnswerAtMs ??= nowMs;
      hasConfirmation ||= confirmedAgeMs !== null;
      const isStale = confirmedAgeMs === null || confirmedAgeMs > STALE_CONFIRMATION_MS;
      const isInitialStay = !hasConfirmation && nowMs - firstAnswerAtMs < INITIAL_STAY_MS;
      const isAbandoned = isStale && !isInitialStay && nowMs - failedAtMs > MIN_SWITCH_INTERVAL_MS;
      if (isAbandoned) recordFailure();
      return isAbandoned;
    },
  };
}
