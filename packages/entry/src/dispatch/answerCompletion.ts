/**
 * Decides whether an answer is complete. The end of a connection alone does not tell: an answer
 * with neither a length nor chunks ends with its connection, also when its server fails. For a
 * stream, the framing and the last event decide together. Where neither tells, the kernel may have
 * closed the connection of a server that died, so the server is probed.
 */
import type { AnswerEnd, AnswerEnding } from './answerEnd';
import type { BackendTarget } from './backendOperations';

const INTERRUPTIONS: Readonly<Record<Exclude<AnswerEnding, 'ended'>, string>> = {
  'broken-off': 'Its connection broke off.',
  'tunnel-broken': 'The tunnel to its server broke off.',
  aborted: 'Its connection was closed by this VM.',
};

/** Why an answer is truncated; null when it is complete. */
export function findTruncation({ framing, ending, position }: AnswerEnd): string | null {
  if (ending !== 'ended') return INTERRUPTIONS[ending];
  // Callers discard an event without its blank line, whatever the framing.
  if (position === 'inside-event') return 'It ended inside an event.';
  const isEmptyStream = position === 'no-event' && framing === 'connection';
  return isEmptyStream ? 'Its connection was closed before the first event.' : null;
}

export interface EndCheckOptions {
  /** Whether the server at an address is lost, by a probe that starts with the call. */
  readonly isServerLost: (address: string) => Promise<boolean>;
  /** Whether a server has announced that it ends. */
  readonly isLeaving: (target: BackendTarget) => boolean;
}

/** Resolves with why an answer is truncated; null when it is complete. */
export type EndCheck = (end: AnswerEnd, target: BackendTarget) => Promise<string | null>;

export function createEndCheck({ isServerLost, isLeaving }: EndCheckOptions): EndCheck {
  return async (end, target) => {
    const truncation = findTruncation(end);
    if (truncation !== null || end.framing !== 'connection') return truncation;
    // A server that leaves may close its port right after its last answer.
    if (isLeaving(target) || !(await isServerLost(target.address))) return null;
    return 'Its server was lost when the connection closed.';
  };
}
