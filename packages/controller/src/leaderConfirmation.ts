/** Confirms the replicated document on the VM whose replica leads. */
import type { DocumentState, StoredDocument } from '@spoolplank/control';
import type { DocumentCache } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface LeaderConfirmationOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly documents: DocumentCache<StoredDocument>;
  readonly state: Pick<DocumentState, 'current'>;
  /** Whether this replica leads with a valid lease and has applied all committed entries. */
  readonly canRead: () => boolean;
}

/** Returns a function that confirms the applied document if this replica may read. */
export function createLeaderConfirmation(options: LeaderConfirmationOptions): () => void {
  const { clock, documents, state, canRead } = options;
  return () => {
    // The process may be suspended after the check, so the time is read before it.
    const checkedAtMs = clock.nowMs();
    if (!canRead()) return;
    if (state.current) documents.offer(state.current);
    documents.confirm(state.current?.version ?? 0, checkedAtMs);
  };
}
