import type { Clock } from '@spoolplank/shared';

/**
 * The newest version of the replicated document that a process knows, and the time at which a
 * source last confirmed that no newer version is in force.
 */
export interface DocumentCache<Document extends { readonly version: number }> {
  readonly current: Document | null;
  /** Time since the document was last confirmed current; infinite when it never was. */
  confirmedAgeMs(): number;
  /** Stores a document if it is newer than the current one; returns whether it was. */
  offer(document: Document): boolean;
  /** Records that no version newer than `version` was in force at `atMs` on this VM's clock. */
  confirm(version: number, atMs: number): void;
}

export function createDocumentCache<Document extends { readonly version: number }>(
  clock: Clock,
): DocumentCache<Document> {
  let current: Document | null = null;
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  return {
    get current() {
      return current;
    },
    confirmedAgeMs: () => clock.nowMs() - confirmedAtMs,
    offer(document) {
      if (current && document.version <= current.version) return false;
      current = document;
      return true;
    },
    confirm(version, atMs) {
      if (current && version <= current.version) confirmedAtMs = Math.max(confirmedAtMs, atMs);
    },
  };
}
