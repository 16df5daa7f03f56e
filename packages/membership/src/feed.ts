/**
 * Messages by which a VM publishes its own facts and receives the facts and the document of a
 * source, which is the VM that it sends its requests to.
 */
import type { Confirmation, ConfirmationRequest } from './confirmation';
import type { FactDelta, FactUpdate } from './factTable';

export interface FeedRequest<Body> extends ConfirmationRequest {
  /** Facts that the requester publishes. */
  readonly updates: readonly FactUpdate<Body>[];
  /** Instance and revision of the source's table that the requester has; see `FactDelta`. */
  readonly instance: string;
  readonly revision: number;
  /** Table instances whose facts the requester receives directly; the reply omits them. */
  readonly exceptOrigins?: readonly string[];
  /** How long the source may hold the request until an urgent change (long polling). */
  readonly waitMs: number;
}

export interface FeedReply<Body, Document> extends Confirmation<Document> {
  readonly delta: FactDelta<Body>;
  /** Time between the arrival of the request and this reply, on the source's clock. */
  readonly waitedMs: number;
}
