/**
 * Tells when no backend server has shown a sign of life for so long that one should be tried: a cut
 * link loses bytes without an error, and a VM without requests would not notice it.
 */
import type { Clock } from '@spoolplank/shared';

export interface SilenceWatchOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Number of signs of life from any server over direct connections; it only increases. */
  readonly countContacts: () => number;
}

export interface SilenceWatch {
  /** Whether a server should be tried now; called periodically. */
  isProbeDue(): boolean;
  /** Records that a server that was tried accepted the connection. */
  recordAccepted(): void;
}

/** Busy VMs receive bytes every few milliseconds. */
const SILENCE_MS = 350;
/** Interval of the attempts of a VM that has nothing to send; each is a connection to a server. */
const IDLE_INTERVAL_MS = 900;

export function createSilenceWatch({ clock, countContacts }: SilenceWatchOptions): SilenceWatch {
  let contacts = countContacts();
  let dueAtMs = clock.nowMs() + SILENCE_MS;

  return {
    isProbeDue() {
      const nowMs = clock.nowMs();
      const newest = countContacts();
      if (newest > contacts) dueAtMs = nowMs + SILENCE_MS;
      contacts = newest;
      if (nowMs < dueAtMs) return false;
      dueAtMs = nowMs + SILENCE_MS;
      return true;
    },
    recordAccepted() {
      dueAtMs = clock.nowMs() + IDLE_INTERVAL_MS;
    },
  };
}
