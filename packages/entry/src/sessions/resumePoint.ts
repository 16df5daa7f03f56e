/** Event ids, and the point at which a caller resumes a session. */
import type { IncomingMessage } from 'node:http';
import { readSingleHeader } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';

export const SESSION_HEADER = 'spoolplank-session';
const LAST_EVENT_HEADER = 'last-event-id';
const SESSION_PATTERN = /^[0-9a-f-]{36}$/;
const EVENT_ID_PATTERN = /^([0-9a-f-]{36}):(\d{1,9}):([0-9a-f]{8})$/;

/** Formats the running checksum of an answer for an event id. */
export function formatDigest(digest: number): string {
  return digest.toString(16).padStart(8, '0');
}

/** The point at which a caller resumes a session. */
export interface ResumePoint {
  readonly sessionId: string;
  /** Position of the last token the caller has; -1 when it has none. */
  readonly position: number;
  /** Digest of the answer up to that token. */
  readonly digest: string;
}

/**
 * Parses the resume point of a request; undefined for a new session.
 *
 * @throws SpoolplankError `invalid-header`.
 */
export function readResumePoint(request: IncomingMessage): ResumePoint | undefined {
  const lastEvent = readSingleHeader(request, LAST_EVENT_HEADER);
  const sessionId = readSingleHeader(request, SESSION_HEADER);
  if (lastEvent === undefined && sessionId === undefined) return undefined;
  const match = EVENT_ID_PATTERN.exec(lastEvent ?? '');
  if (lastEvent !== undefined && !match) {
    throw new SpoolplankError('invalid-header', {
      detail: `${LAST_EVENT_HEADER}: an event's id is expected.`,
    });
  }
  if (sessionId !== undefined && !SESSION_PATTERN.test(sessionId)) {
    throw new SpoolplankError('invalid-header', {
      detail: `${SESSION_HEADER}: a session's id is expected.`,
    });
  }
  if (match && sessionId !== undefined && match[1] !== sessionId) {
    throw new SpoolplankError('invalid-header', {
      detail: `${LAST_EVENT_HEADER} and ${SESSION_HEADER} name different sessions.`,
    });
  }
  const id = match?.[1] ?? sessionId ?? '';
  return match
    ? { sessionId: id, position: Number(match[2]), digest: match[3] ?? '' }
    : { sessionId: id, position: -1, digest: '' };
}
