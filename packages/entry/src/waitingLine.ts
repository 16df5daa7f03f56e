/** Requests that wait a short while for a place, by priority and then by arrival. */
import type { Clock } from '@spoolplank/shared';

export interface WaitingLineOptions {
  readonly clock: Clock;
  readonly delay: (durationMs: number) => Promise<void>;
  /** With so many waiting, a further one is not taken in. */
  readonly maxWaiting: number;
  /** How often the first one looks for a place. */
  readonly pollMs: number;
}

export interface Wait<Place> {
  /** 0 is the highest. */
  readonly priority: number;
  /** When the request stops waiting, on this VM's clock. */
  readonly endsAtMs: number;
  /** Looks for a place; undefined while there is none. */
  readonly find: () => Place | undefined;
  /** Whether nobody waits for the place any more. */
  readonly isGone: () => boolean;
}

export interface WaitingLine {
  /** Number of requests that wait. */
  readonly length: number;
  /** A place, at once where one is free and nobody waits for it; undefined when none came. */
  enter<Place>(wait: Wait<Place>): Promise<Place | undefined>;
}

interface Ticket {
  readonly priority: number;
}

export function createWaitingLine(options: WaitingLineOptions): WaitingLine {
  const { clock, delay, maxWaiting, pollMs } = options;
  const line: Ticket[] = [];

  function join(ticket: Ticket): void {
    const later = line.findIndex(({ priority }) => priority > ticket.priority);
    line.splice(later < 0 ? line.length : later, 0, ticket);
  }

  function leave(ticket: Ticket): void {
    line.splice(line.indexOf(ticket), 1);
  }

  return {
    get length() {
      return line.length;
    },
    async enter({ priority, endsAtMs, find, isGone }) {
      const isFirst = line.every((ticket) => ticket.priority > priority);
      const place = isFirst ? find() : undefined;
      if (place !== undefined || line.length >= maxWaiting) return place;
      const ticket: Ticket = { priority };
      join(ticket);
      try {
        while (clock.nowMs() < endsAtMs && !isGone()) {
          await delay(pollMs);
          const found = line[0] === ticket ? find() : undefined;
          if (found !== undefined) return found;
        }
        return undefined;
      } finally {
        leave(ticket);
      }
    },
  };
}
