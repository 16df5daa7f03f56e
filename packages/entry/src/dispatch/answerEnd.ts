/** How the body of a backend server's answer ended. */
import { TunnelBrokenError } from '@spoolplank/node';

/** What marks the end of a body: its length, its last chunk, or the end of its connection. */
export type AnswerFraming = 'length' | 'chunked' | 'connection';

/**
 * `ended`: the server ended the body. `broken-off`: the connection broke before. `tunnel-broken`:
 * the VM through which the answer came did not report how the server ended it. `aborted`: this VM
 * closed the connection.
 */
export type AnswerEnding = 'ended' | 'broken-off' | 'tunnel-broken' | 'aborted';

/** Where the body of a stream ended, in respect of its events. */
export type EventPosition = 'no-event' | 'between-events' | 'inside-event';

export interface AnswerEnd {
  readonly framing: AnswerFraming;
  readonly ending: AnswerEnding;
  /** Null for a body that is not a stream of events. */
  readonly position: EventPosition | null;
}

/** Highest status of a successful answer. */
export const MAX_SUCCESS_STATUS = 299;

/** The ending of a body whose reading failed. */
export function endingOfError(error: unknown): AnswerEnding {
  if (error instanceof TunnelBrokenError) return 'tunnel-broken';
  return error instanceof Error && error.name === 'AbortError' ? 'aborted' : 'broken-off';
}
