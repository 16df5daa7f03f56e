/**
 * Tracks how long this VM has exchanged facts (gossiped records) with a control VM without
 * interruption.
 */
import type { Clock } from '@spoolplank/shared';

export interface SyncHistoryOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Time of the last reply of a control VM; not finite before the first. */
  readonly syncedAtMs: () => number;
}

export interface SyncHistory {
  /** Updates the history; called periodically. */
  tick(): void;
  /**
   * Whether the list of members is complete: facts have been exchanged without interruption for as
   * long as a new member takes to become known.
   */
  isMembershipComplete(): boolean;
}

/**
 * Time until a VM knows the members that started together with it. They announce themselves every
 * 800 ms, and each announcement passes through two control VMs.
 */
export const MEMBERS_KNOWN_MS = 2600;

export function createSyncHistory({ clock, syncedAtMs }: SyncHistoryOptions): SyncHistory {
  let inSyncSinceMs = Number.POSITIVE_INFINITY;
  let lastTickAtMs = clock.nowMs();

  const isRecent = (atMs: number): boolean => clock.nowMs() - atMs < MEMBERS_KNOWN_MS;
  // After a suspension, a VM may receive facts before its next tick.
  const isInSync = (): boolean => isRecent(syncedAtMs()) && isRecent(lastTickAtMs);

  return {
    tick() {
      const nowMs = clock.nowMs();
      inSyncSinceMs = isInSync() ? Math.min(inSyncSinceMs, nowMs) : Number.POSITIVE_INFINITY;
      lastTickAtMs = nowMs;
    },
    isMembershipComplete: () => isInSync() && clock.nowMs() - inSyncSinceMs >= MEMBERS_KNOWN_MS,
  };
}
