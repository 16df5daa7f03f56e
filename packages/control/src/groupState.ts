/** What the control group replicates: the document, and the reservations of retries. */
import type { Clock, JsonValue } from '@spoolplank/shared';
import { createDocumentState } from './documentState';
import type { DocumentState, StoredDocument } from './documentState';
import { createRetryReservations } from './retryReservations';
import type {
  ReleaseRetries,
  ReserveRetries,
  RetryReservation,
  RetryReservations,
} from './retryReservations';

/** State machine over the replicated log. */
export interface GroupState {
  readonly documents: DocumentState;
  readonly retries: RetryReservations;
  apply(command: JsonValue): JsonValue;
  takeSnapshot(): string;
  restore(snapshot: string): void;
}

interface GroupSnapshot {
  readonly document: StoredDocument | null;
  readonly retries: readonly RetryReservation[];
}

const EMPTY: GroupSnapshot = { document: null, retries: [] };
const RETRY_COMMANDS: ReadonlySet<unknown> = new Set<(ReserveRetries | ReleaseRetries)['kind']>([
  'retries.reserve',
  'retries.release',
]);

/** Reads a snapshot; one of a group that has not reserved retries is that of the document. */
function parseSnapshot(snapshot: string): GroupSnapshot {
  const parsed = snapshot === '' ? null : (JSON.parse(snapshot) as GroupSnapshot | StoredDocument);
  if (parsed === null) return EMPTY;
  return 'document' in parsed ? parsed : { document: parsed, retries: [] };
}

export function createGroupState(clock: Pick<Clock, 'steadyMs'>): GroupState {
  const documents = createDocumentState();
  const retries = createRetryReservations(clock);
  return {
    documents,
    retries,
    apply(command) {
      const { kind } = command as { readonly kind: unknown };
      return RETRY_COMMANDS.has(kind)
        ? retries.apply(command as unknown as ReserveRetries | ReleaseRetries)
        : documents.apply(command);
    },
    takeSnapshot() {
      const snapshot: GroupSnapshot = {
        document: documents.current,
        retries: retries.takeSnapshot(),
      };
      return JSON.stringify(snapshot);
    },
    restore(text) {
      const snapshot = parseSnapshot(text);
      documents.restore(JSON.stringify(snapshot.document));
      retries.restore(snapshot.retries);
    },
  };
}
