import type { EventPosition } from './answerEnd';

/**
 * Splits a stream of server-sent events at event boundaries, so that a stream that breaks inside
 * an event can be resumed on another chain after the last complete event.
 */
export interface EventSplitter {
  /** Where the bytes pushed so far end. */
  readonly position: EventPosition;
  /** Number of buffered bytes of an event that is not complete yet. */
  readonly partialBytes: number;
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
/** One byte less than the longest end of an event: they may lie in an earlier chunk. */
const MAX_TAIL_BYTES = 2;
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
  /** The bytes of the event that is not complete yet, and room for more of them. */
  let buffer: Buffer = EMPTY_BUFFER;
  let partialBytes = 0;
  let lastEventId: string | null = null;
  let hasEvent = false;

  /** Adds bytes; the room grows by doubling, so that a long event is not copied for each chunk. */
  function append(bytes: Buffer): void {
    const neededBytes = partialBytes + bytes.length;
    if (buffer.length < neededBytes) {
      const grown = Buffer.allocUnsafe(Math.max(neededBytes, 2 * buffer.length));
      buffer.copy(grown, 0, 0, partialBytes);
      buffer = grown;
    }
    bytes.copy(buffer, partialBytes);
    partialBytes = neededBytes;
  }

  function takePartial(): Buffer {
    const taken = buffer.subarray(0, partialBytes);
    buffer = EMPTY_BUFFER;
    partialBytes = 0;
    return taken;
  }

  function recordComplete(events: Buffer): Buffer {
    hasEvent = true;
    lastEventId = findLastId(events) ?? lastEventId;
    return events;
  }

  return {
    get position() {
      if (partialBytes > 0) return 'inside-event';
      return hasEvent ? 'between-events' : 'no-event';
    },
    get lastEventId() {
      return lastEventId;
    },
    get hasPartialEvent() {
      return partialBytes > 0;
    },
    get partialBytes() {
      return partialBytes;
    },
    push(bytes) {
      // Mostly, a chunk is one event.
      if (partialBytes === 0 && endsEvent(bytes)) return recordComplete(bytes);
      const checkedBytes = Math.max(0, partialBytes - MAX_TAIL_BYTES);
      append(bytes);
      const end = findLastEnd(buffer.subarray(checkedBytes, partialBytes));
      if (end === 0) return EMPTY_BUFFER;
      const events = takePartial();
      append(events.subarray(checkedBytes + end));
      return recordComplete(events.subarray(0, checkedBytes + end));
    },
    takePartialEvent: takePartial,
  };
}
