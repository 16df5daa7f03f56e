/**
 * Confirmations that no version of the document is in force that is newer than the one a process
 * has, as sources pass them on.
 */
import type { DocumentCache } from './documentCache';

interface Versioned {
  readonly version: number;
}

export interface ConfirmationRequest {
  /** Version of the requester's document; -1 if it has none. */
  readonly documentVersion: number;
}

export interface Confirmation<Document> {
  /** Present if the document of the source is newer than that of the requester. */
  readonly document?: Document;
  /** Version of the source's document; -1 if it has none. */
  readonly documentVersion: number;
  /** Age of the source's confirmation of that version; null when it was never confirmed. */
  readonly confirmedAgeMs: number | null;
}

export const NO_DOCUMENT_VERSION = -1;

/** RPC method of control VMs that answers a `ConfirmationRequest` at once. */
export const CONFIRM_METHOD = 'document.confirm';

/** Describes the document of a source for a requester. */
export function describeConfirmation<Document extends Versioned>(
  documents: DocumentCache<Document>,
  { documentVersion: requesterVersion }: ConfirmationRequest,
): Confirmation<Document> {
  const { current: document } = documents;
  const documentVersion = document?.version ?? NO_DOCUMENT_VERSION;
  const ageMs = documents.confirmedAgeMs();
  return {
    ...(document && documentVersion > requesterVersion ? { document } : {}),
    documentVersion,
    confirmedAgeMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : null,
  };
}

/**
 * Stores what a source has confirmed.
 *
 * @param madeAtMs Earliest time at which the source can have described its document, on this VM's
 * clock.
 */
export function applyConfirmation<Document extends Versioned>(
  documents: DocumentCache<Document>,
  { document, documentVersion, confirmedAgeMs }: Confirmation<Document>,
  madeAtMs: number,
  onDocument: (document: Document) => void = () => {},
): void {
  if (document && documents.offer(document)) onDocument(document);
  if (confirmedAgeMs !== null) documents.confirm(documentVersion, madeAtMs - confirmedAgeMs);
}
