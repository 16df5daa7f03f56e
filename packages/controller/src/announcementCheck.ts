/** Checks whether an announcement may replace the stored state of a backend server. */
import type { BackendFact } from '@spoolplank/membership';
import { findDocumentConflict } from '@spoolplank/routing';
import type { RoutingDocument } from '@spoolplank/routing';

/** Fields that do not change within one incarnation of a backend server. */
const IMMUTABLE_FIELDS = ['service', 'address', 'dataCentre'] as const;

function findContradiction(known: BackendFact, stated: BackendFact): string | null {
  const changed = IMMUTABLE_FIELDS.find((name) => known[name] !== stated[name]);
  if (changed) return `its ${changed} is another one than before`;
  const hasOtherKind = known.engine?.acceleratorKind !== stated.engine?.acceleratorKind;
  return hasOtherKind ? 'its kind of accelerator is another one than before' : null;
}

export interface AnnouncementCheckOptions {
  readonly stated: BackendFact;
  /** The stored state of the same incarnation; undefined when none is stored. */
  readonly known: BackendFact | undefined;
  /** Null before the first document; every announcement is accepted then. */
  readonly document: RoutingDocument | null;
}

/**
 * Returns why an announcement is rejected; null when it is accepted. Other processes may announce
 * themselves under the name of a backend server: an announcement that contradicts the document
 * neither replaces a valid one nor is routed to. An announcement of an unknown service is accepted,
 * as the document that defines it may not have arrived yet.
 */
export function findAnnouncementProblem(options: AnnouncementCheckOptions): string | null {
  const { stated, known, document } = options;
  if (!document) return null;
  const isServiceKnown = document.services.some(({ name }) => name === stated.service);
  const misfit = isServiceKnown ? findDocumentConflict(stated, document) : null;
  if (misfit !== null) return misfit;
  if (!known || known.state === 'gone' || findDocumentConflict(known, document) !== null)
    return null;
  return findContradiction(known, stated);
}
