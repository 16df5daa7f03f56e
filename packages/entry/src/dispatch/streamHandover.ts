/**
 * Hands a caller's stream over from one run to another that was started while the first one still
 * runs, because the head of its chain leaves.
 *
 * The second run resumes after the last event that was forwarded when it was opened, and the first
 * one goes on meanwhile. With its first event the second run takes over: the first one is
 * cancelled, and the second one repeats the events that the first one had forwarded in between.
 * Those are recognised by their ids, in order, and dropped, so that the caller misses no event and
 * gets none twice.
 */

/** The runs of one handover do not continue each other; the later one must not be forwarded. */
export class HandoverMismatchError extends Error {}

export interface HandoverOptions {
  /** Cancels the first run; from then on it forwards nothing. */
  readonly onSwitch: () => void;
}

export interface Handover {
  /** Called when the second run is opened; from then on the events of the first are recorded. */
  open(): void;
  /** Records complete events that the first run forwarded. */
  recordForwarded(events: Buffer): void;
  /** Records that the first run ended the stream; the second one can then not take over. */
  recordCompleted(): void;
  /**
   * Returns those of the second run's complete events that the caller has not received.
   *
   * @throws HandoverMismatchError if they do not continue what the caller has received.
   */
  accept(events: Buffer): Buffer;
  /** Whether the second run has taken over. */
  readonly isSwitched: boolean;
  /** Whether the second run has repeated all events that the first one had forwarded. */
  readonly isCaughtUp: boolean;
}

interface StreamEvent {
  /** Null if the event has none. */
  readonly id: string | null;
  readonly length: number;
}

/** An event up to and with the blank line that ends it. */
const EVENT = /[^]*?\n\r?\n/g;
const ID_FIELD = 'id:';

function listEvents(events: Buffer): readonly StreamEvent[] {
  return [...events.toString('latin1').matchAll(EVENT)].map(([event]) => {
    const line = event.split('\n').findLast((text) => text.startsWith(ID_FIELD));
    const id = line === undefined ? null : line.slice(ID_FIELD.length).trim();
    return { id, length: event.length };
  });
}

export function createHandover({ onSwitch }: HandoverOptions): Handover {
  /** Ids of the events that the first run forwarded and the second one has not repeated yet. */
  const expectedIds: (string | null)[] = [];
  let isOpen = false;
  let isSwitched = false;
  let isCompleted = false;

  function assertRepeats({ id }: StreamEvent): void {
    // An event without an id has no known position in the stream.
    const [expected] = expectedIds;
    if (expected === undefined) return;
    if (id !== null && id === expected) return;
    throw new HandoverMismatchError(`event ${id ?? 'without id'} instead of ${expected ?? 'one'}`);
  }

  function takeOver(first: StreamEvent): void {
    if (isCompleted) throw new HandoverMismatchError('the stream has ended');
    if (expectedIds.includes(null)) throw new HandoverMismatchError('an event without id');
    assertRepeats(first);
    isSwitched = true;
    onSwitch();
  }

  return {
    open() {
      isOpen = true;
    },
    recordForwarded(events) {
      if (isOpen && !isSwitched) expectedIds.push(...listEvents(events).map(({ id }) => id));
    },
    recordCompleted() {
      isCompleted = true;
    },
    accept(events) {
      const received = listEvents(events);
      const [first] = received;
      if (!first) return events;
      if (!isSwitched) takeOver(first);
      let repeatedLength = 0;
      for (const event of received) {
        if (expectedIds.length === 0) break;
        assertRepeats(event);
        expectedIds.shift();
        repeatedLength += event.length;
      }
      return events.subarray(repeatedLength);
    },
    get isSwitched() {
      return isSwitched;
    },
    get isCaughtUp() {
      return expectedIds.length === 0;
    },
  };
}
