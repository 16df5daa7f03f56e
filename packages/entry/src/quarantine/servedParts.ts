/** Remembers under which parts of prompts servers have begun an answer recently. */
import type { Clock } from '@spoolplank/shared';

export interface ServedParts {
  /** Records an answer that has begun; its run was sent at `sentAtMs`. */
  record(part: string, sentAtMs: number): void;
  /** When the latest run was sent that was answered recently; undefined without any. */
  find(part: string): number | undefined;
}

/** Time for which a part counts as served before a crash. */
export const SERVED_BEFORE_MS = 60_000;
/** Maximum number of parts, about 0.4 MB; the least recently served are dropped first. */
const MAX_PARTS = 4096;

export function createServedParts({ clock }: { readonly clock: Clock }): ServedParts {
  const sentAtMsByPart = new Map<string, number>();

  return {
    record(part, sentAtMs) {
      const latestMs = Math.max(sentAtMs, sentAtMsByPart.get(part) ?? sentAtMs);
      sentAtMsByPart.delete(part);
      sentAtMsByPart.set(part, latestMs);
      if (sentAtMsByPart.size <= MAX_PARTS) return;
      const [oldest = ''] = sentAtMsByPart.keys();
      sentAtMsByPart.delete(oldest);
    },
    find(part) {
      const sentAtMs = sentAtMsByPart.get(part);
      const isRecent = sentAtMs !== undefined && clock.nowMs() - sentAtMs < SERVED_BEFORE_MS;
      return isRecent ? sentAtMs : undefined;
    },
  };
}
