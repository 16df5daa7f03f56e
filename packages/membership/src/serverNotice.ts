/** State that a backend server reports about itself in the headers of a response. */

/**
 * A notice applies to the incarnation of the server that responded and to the VM that it responded
 * to.
 */
export interface ServerNotice {
  readonly instanceId: string;
  readonly address: string;
  /** The request that the server responded to; null for an order or a report. */
  readonly requestId: string | null;
  readonly status: number;
  /** Requested backoff of this VM in milliseconds; null when none is requested. */
  readonly backoffMs: number | null;
  /** Whether the server accepts no new work from any VM. */
  readonly isLeaving: boolean;
  /** Address of another server that the response blames for a failure; null if it blames none. */
  readonly culpritAddress: string | null;
}

export type NoticeListener = (notice: ServerNotice) => void;
