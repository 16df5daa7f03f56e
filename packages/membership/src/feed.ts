/**
 * Messages by which a VM publishes its own facts and receives the facts and the document of a
 * source, which is the VM that it sends its requests to.
 */
import type { FactDelta, FactUpdate } from './factTable';

export interface FeedRequest<Body> {
  /** Facts that the requester publishes. */
  readonly updates: readonly FactUpdate<Body>[];
  /** Instance and revision of the source's table that the requester has; see `FactDelta`. */
  readonly instance: string;
  readonly revision: number;
  /** Version of the requester's document; -1 if it has none. */
  readonly documentVersion: number;
  /** Table instances whose facts the requester receives directly; the reply omits them. */
  readonly exceptOrigins?: readonly string[];
  /** How long the source may hold the request until an urgent change (long polling). */
  readonly waitMs: number;
}

export interface FeedReply<Body, Document> {
  readonly delta: FactDelta<Body>;
  /** Present if the document of the source is newer than that of the requester. */
  readonly document?: Document;
  /** Version of the source's document; -1 if it has none. */
  readonly documentVersion: number;
  /** Age of the source's confirmation of that version; null when it was never confirmed. */
  readonly confirmedAgeMs: number | null;
  /** Time between the arrival of the request and this reply, on the source's clock. */
  readonly waitedMs: number;
}

export const NO_DOCUMENT_VERSION = -1;
