import type { EventPosition } from './answerEnd';

/**
 * Splits a stream of server-sent events at event boundaries, so that a stream that breaks inside
 * an event can be resumed on another chain after the last complete event.
 */
export interface EventSplitter {
  /** Where the bytes pushed so far end. */
  readonly position: EventPosition;
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
const LINE_END = 0x0a;
const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id:');
const ID_LINE = Buffer.from('\nid:');

/** Whether the last byte ends an event. */
function endsEvent(bytes: Buffer): boolean {
  const { length } = bytes;
  return length > 1 && bytes[length - 1] === LINE_END && bytes[length - 2] === LINE_END;
}

function startsWithId(events: Buffer): boolean {
  return ID_FIELD.every((byte, index) => events[index] === byte);
}

/** The id of the last event that has one. Only the id is decoded, not the events. */
function findLastId(events: Buffer): string | null {
  const at = events.lastIndexOf(ID_LINE) + 1;
  if (at === 0 && !startsWithId(events)) return null;
  const from = at + ID_FIELD.length;
  return events.toString('latin1', from, events.indexOf(LINE_END, from)).trim();
}

export function createEventSplitter(): EventSplitter {
  let partial: Buffer = EMPTY_BUFFER;
  let lastEventId: string | null = null;
  let hasEvent = false;
  return {
    get position() {
      if (partial.length > 0) return 'inside-event';
      return hasEvent ? 'between-events' : 'no-event';
    },
    get lastEventId() {
      return lastEventId;
    },
    get hasPartialEvent() {
      return partial.length > 0;
    },
    push(bytes) {
      // Mostly, a chunk is one event.
      if (partial.length === 0 && endsEvent(bytes)) {
        hasEvent = true;
        lastEventId = findLastId(bytes) ?? lastEventId;
        return bytes;
      }
      const buffered = partial.length ? Buffer.concat([partial, bytes]) : bytes;
      const at = buffered.lastIndexOf(EVENT_END);
      if (at < 0) {
        partial = buffered;
        return EMPTY_BUFFER;
      }
      hasEvent = true;
      const end = at + EVENT_END.length;
      const complete = buffered.subarray(0, end);
      partial = end < buffered.length ? buffered.subarray(end) : EMPTY_BUFFER;
      lastEventId = findLastId(complete) ?? lastEventId;
      return complete;
    },
    takePartialEvent() {
      const last = partial;
      partial = EMPTY_BUFFER;
      return last;
    },
  };
}
