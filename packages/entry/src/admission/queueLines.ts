/**
 * Holds queued requests in lines, so that the next one is found without sorting the queue.
 *
 * After a loss of engines, hundreds of requests wait, and the queue looks for slots up to 500 times
 * a second. All requests of a line have the same class, group, organisation and excluded servers,
 * and are in order among themselves. Only the first of each line can be the next, so the cost of a
 * grant depends on the number of lines and not on that of requests.
 */
import {
  classOf,
  compareWithinGroup,
  createSortedList,
  groupOf,
  nextGroupChangeAtMs,
} from '@spoolplank/routing';
import type { QueuedRequest, QueueGroup, SortedList } from '@spoolplank/routing';

/** A request as the lines know it. */
export interface LineEntry extends QueuedRequest {
  readonly organisation?: string;
  readonly exclusionKey?: () => string;
}

/** A queued request. */
export interface Queued<Entry extends LineEntry> {
  readonly wait: Entry;
  /** Increases with each request that joined. */
  readonly sequence: number;
  /** Identifies the excluded servers, as of the last check. */
  exclusions: string;
  /** Earliest time at which the request leaves the queue or changes its group. */
  changesAtMs: number;
  line: Line<Entry> | null;
}

export interface Line<Entry extends LineEntry> {
  readonly name: string;
  readonly group: QueueGroup;
  readonly exclusions: string;
  readonly requests: SortedList<Queued<Entry>>;
}

export interface QueueLines<Entry extends LineEntry> {
  readonly length: number;
  add(wait: Entry, nowMs: number): Queued<Entry>;
  remove(request: Queued<Entry>): void;
  /** Lines that are not empty. */
  list(): Iterable<Line<Entry>>;
  /** Moves requests whose group has changed; returns those whose wait ended, which stay in line. */
  advance(nowMs: number): readonly Queued<Entry>[];
  /** Updates the excluded servers of a request, which its VM may have changed. */
  refresh(request: Queued<Entry>): void;
  /** Some requests, so that repeated calls return all of them in turn. */
  takeTurn(count: number): readonly Queued<Entry>[];
  /** Number of requests of a line that come before one of the same group, which is not in it. */
  countBefore(line: Line<Entry>, wait: QueuedRequest): number;
}

/** Interval after which a request is looked at again if its next change is due at this moment. */
const MIN_INTERVAL_MS = 1;

const exclusionsOf = ({ exclusionKey }: LineEntry): string => exclusionKey?.() ?? '';

export function createQueueLines<Entry extends LineEntry>(): QueueLines<Entry> {
  const lines = new Map<string, Line<Entry>>();
  const all = new Set<Queued<Entry>>();
  const byChange = createSortedList<Queued<Entry>>(
    (a, b) => a.changesAtMs - b.changesAtMs || a.sequence - b.sequence,
  );
  let turn = all.values();
  let sequence = 0;

  function findLine({ wait, exclusions }: Queued<Entry>, group: QueueGroup): Line<Entry> {
    const { priority, organisation = '' } = wait;
    const name = [priority, classOf(wait), group, exclusions, organisation].join('\n');
    const known = lines.get(name);
    if (known) return known;
    const requests = createSortedList<Queued<Entry>>(
      (a, b) => compareWithinGroup(group, a.wait, b.wait) || a.sequence - b.sequence,
    );
    const line = { name, group, exclusions, requests };
    lines.set(name, line);
    return line;
  }

  function enterLine(request: Queued<Entry>, group: QueueGroup): void {
    request.line = findLine(request, group);
    request.line.requests.add(request);
  }

  function leaveLine(request: Queued<Entry>): void {
    const { line } = request;
    if (!line) return;
    line.requests.remove(request);
    if (line.requests.length === 0) lines.delete(line.name);
    request.line = null;
  }

  function place(request: Queued<Entry>, nowMs: number): void {
    const { wait } = request;
    const group = groupOf(wait, nowMs);
    enterLine(request, group);
    const dueAtMs = Math.min(wait.queueDeadlineAtMs, nextGroupChangeAtMs(wait, group));
    request.changesAtMs = dueAtMs > nowMs ? dueAtMs : nowMs + MIN_INTERVAL_MS;
    byChange.add(request);
  }

  function remove(request: Queued<Entry>): void {
    byChange.remove(request);
    leaveLine(request);
    all.delete(request);
  }

  return {
    get length() {
      return all.size;
    },
    add(wait, nowMs) {
      sequence += 1;
      const exclusions = exclusionsOf(wait);
      const request = { wait, sequence, exclusions, changesAtMs: 0, line: null };
      all.add(request);
      place(request, nowMs);
      return request;
    },
    remove,
    list: () => lines.values(),
    advance(nowMs) {
      const ended: Queued<Entry>[] = [];
      for (;;) {
        const request = byChange.at(0);
        if (!request || request.changesAtMs > nowMs) return ended;
        byChange.remove(request);
        if (nowMs >= request.wait.queueDeadlineAtMs) {
          ended.push(request);
        } else {
          leaveLine(request);
          place(request, nowMs);
        }
      }
    },
    refresh(request) {
      const { line } = request;
      const exclusions = exclusionsOf(request.wait);
      if (!line || exclusions === request.exclusions) return;
      leaveLine(request);
      request.exclusions = exclusions;
      enterLine(request, line.group);
    },
    takeTurn(count) {
      const taken: Queued<Entry>[] = [];
      while (taken.length < Math.min(count, all.size)) {
        const next = turn.next();
        if (next.done) turn = all.values();
        else taken.push(next.value);
      }
      return taken;
    },
    countBefore: ({ group, requests }, wait) =>
      requests.countWhile((request) => compareWithinGroup(group, request.wait, wait) <= 0),
  };
}
