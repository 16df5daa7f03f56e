/**
 * Splits a stream of server-sent events at event boundaries, so that a stream that breaks inside
 * an event can be resumed on another chain after the last complete event.
 */
export interface EventSplitter {
  /** Buffers bytes and returns all complete events; empty when none is complete. */
  push(bytes: Buffer): Buffer;
  /** Id of the last complete event returned; null before the first one that has an id. */
  readonly lastEventId: string | null;
  /** Whether bytes of an event that is not complete yet are buffered. */
  readonly hasPartialEvent: boolean;
  /** Returns and clears the buffered bytes, for a stream that ended without a final blank line. */
  takePartialEvent(): Buffer;
}

const EMPTY_BUFFER = Buffer.alloc(0);
const EVENT_END = '\n\n';
const ID_FIELD = 'id:';

function findLastId(events: string): string | null {
  const at = events.startsWith(ID_FIELD)
    ? Math.max(0, events.lastIndexOf(`\n${ID_FIELD}`) + 1)
    : events.lastIndexOf(`\n${ID_FIELD}`) + 1;
  if (at === 0 && !events.startsWith(ID_FIELD)) return null;
  const end = events.indexOf('\n', at);
  return events.slice(at + ID_FIELD.length, end).trim();
}

export function createEventSplitter(): EventSplitter {
  let partial: Buffer = EMPTY_BUFFER;
  let lastEventId: string | null = null;
  return {
    get lastEventId() {
      return lastEventId;
    },
    get hasPartialEvent() {
      return partial.length > 0;
    },
    push(bytes) {
      const buffered = partial.length ? Buffer.concat([partial, bytes]) : bytes;
      const at = buffered.lastIndexOf(EVENT_END);
      if (at < 0) {
        partial = buffered;
        return EMPTY_BUFFER;
      }
      const end = at + EVENT_END.length;
      const complete = buffered.subarray(0, end);
      partial = end < buffered.length ? buffered.subarray(end) : EMPTY_BUFFER;
      lastEventId = findLastId(complete.toString('latin1')) ?? lastEventId;
      return complete;
    },
    takePartialEvent() {
      const last = partial;
      partial = EMPTY_BUFFER;
      return last;
    },
  };
}
