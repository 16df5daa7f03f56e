/**
 * A document whose version numbers are assigned by its senders. The highest version is in force;
 * a command with the same or a lower version is acknowledged and changes nothing.
 */
import type { JsonValue } from '@spoolplank/shared';

export interface StoredDocument {
  readonly version: number;
  /** The document as received: compressed and base64-encoded. */
  readonly data: string;
}

export interface ReplaceDocument extends StoredDocument {
  readonly kind: 'document.replace';
}

export interface ReplaceResult {
  /** `held`: this version or a higher one was already in force. */
  readonly status: 'accepted' | 'held';
  readonly versionInForce: number;
}

/** State machine over the replicated log. */
export interface DocumentState {
  readonly current: StoredDocument | null;
  apply(command: JsonValue): JsonValue;
  takeSnapshot(): string;
  restore(snapshot: string): void;
}

export function createDocumentState(): DocumentState {
  let current: StoredDocument | null = null;
  return {
    get current() {
      return current;
    },
    apply(command) {
      const { version, data } = command as unknown as ReplaceDocument;
      const isNewer = current === null || version > current.version;
      if (isNewer) current = { version, data };
      const result: ReplaceResult = {
        status: isNewer ? 'accepted' : 'held',
        versionInForce: current?.version ?? version,
      };
      return result as unknown as JsonValue;
    },
    takeSnapshot: () => JSON.stringify(current),
    restore(snapshot) {
      current = snapshot === '' ? null : (JSON.parse(snapshot) as StoredDocument | null);
    },
  };
}
