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
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A blank line after another line, with either of the line ends that servers use. */
const EVENT_ENDS = ['\n\n', '\n\r\n'].map((text) => Buffer.from(text));
const ID_FIELD = Buffer.from('id:');
const ID_LINE = Buffer.from('\nid:');

/** Whether the last byte ends an event. */
function endsEvent(bytes: Buffer): boolean {
  if (bytes.at(-1) !== LINE_FEED) return false;
  return bytes.at(bytes.at(-2) === CARRIAGE_RETURN ? -3 : -2) === LINE_FEED;
}

/** Offset after the last complete event; 0 if there is none. */
function findLastEnd(bytes: Buffer): number {
  return Math.max(
    ...EVENT_ENDS.map((end) => {
      const at = bytes.lastIndexOf(end);
      return at < 0 ? 0 : at + end.length;
    }),
  );
}

function startsWithId(events: Buffer): boolean {
  return ID_FIELD.every((byte, index) => events[index] === byte);
}

/** The id of the last event that has one. Only the id is decoded, not the events. */
function findLastId(events: Buffer): string | null {
  const at = events.lastIndexOf(ID_LINE) + 1;
  if (at === 0 && !startsWithId(events)) return null;
  const from = at + ID_FIELD.length;
  return events.toString('latin1', from, events.indexOf(LINE_FEED, from)).trim();
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
      const end = findLastEnd(buffered);
      if (end === 0) {
        partial = buffered;
        return EMPTY_BUFFER;
      }
      hasEvent = true;
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
