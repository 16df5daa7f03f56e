/** Incoming requests and their responses; each protocol implements both. */
import type { SpoolplankError } from '@spoolplank/shared';

/** Headers in the order and spelling of the wire, as alternating names and values. */
export type RawHeaders = readonly string[];

export interface CallerRequest {
  /** Id set by the caller, unique to this attempt; empty when there is none. */
  readonly id: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  readonly host: string;
  /** Key that identifies the caller's organisation; null when it sent none. */
  readonly key: string | null;
  /** Time that the caller waits, counted from the arrival; null when it set none. */
  readonly deadlineMs: number | null;
  /** Id of the last event that the caller has received; null for a new stream. */
  readonly lastEventId: string | null;
  /** Tokens of the prompt and maximum tokens of the answer; 0 when unknown. */
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /**
   * Keys of the parts of the prompt that other requests share, in order: each names a model and a
   * part. Empty when unknown.
   */
  readonly promptParts: readonly string[];
  /** Headers that are passed through to backend servers unchanged. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Arrival time on this VM's monotonic clock. */
  readonly arrivedAtMs: number;
}

export interface CallerAnswer {
  /** Whether the caller has disconnected, or the response was cut. */
  readonly isClosed: boolean;
  /** Sets a listener that is called once if the caller disconnects before the response ends. */
  onClosed(listener: () => void): void;
  /** Sends a complete response. */
  send(status: number, headers: RawHeaders, body: Buffer): void;
  /** Starts a streamed response. */
  begin(status: number, headers: RawHeaders): void;
  /** Writes a chunk; returns false when the caller reads too slowly and the buffer is full. */
  write(chunk: Buffer): boolean;
  /** Sets a listener that is called when more can be written. */
  onWritable(listener: () => void): void;
  /** Completes a streamed response. */
  end(): void;
  /**
   * Closes the connection, so that the truncated response cannot be taken for a complete response.
   */
  abort(): void;
  /** Responds with an error of this system. */
  refuse(error: SpoolplankError): void;
}
