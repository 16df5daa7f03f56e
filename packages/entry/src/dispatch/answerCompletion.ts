/**
 * Decides whether an answer is complete. The end of a connection alone does not tell: an answer
 * with neither a length nor chunks ends with its connection, also when its server fails. For a
 * stream, the framing and the last event decide together.
 */
import type { AnswerEnd, AnswerEnding } from './answerEnd';

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
