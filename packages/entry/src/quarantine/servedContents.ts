/**
 * Remembers contents that were served recently, and are therefore not suspected to crash servers.
 */
import type { Clock } from '@spoolplank/shared';

export interface ServedContents {
  record(digest: string): void;
  has(digest: string): boolean;
}

/**
 * Time for which a served content counts as harmless. A content that many callers send, such as a
 * common look-up, runs on several servers at any moment, and would otherwise be suspected when
 * these servers fail together for another reason.
 */
const HARMLESS_MS = 60_000;
/** Maximum number of digests, about 0.4 MB; the oldest are dropped first. */
const MAX_DIGESTS = 4096;

export function createServedContents({ clock }: { readonly clock: Clock }): ServedContents {
  const servedAtMs = new Map<string, number>();

  return {
    record(digest) {
      servedAtMs.delete(digest);
      servedAtMs.set(digest, clock.nowMs());
      if (servedAtMs.size <= MAX_DIGESTS) return;
      const [oldest = ''] = servedAtMs.keys();
      servedAtMs.delete(oldest);
    },
    has(digest) {
      const atMs = servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY;
      return clock.nowMs() - atMs < HARMLESS_MS;
    },
  };
}
