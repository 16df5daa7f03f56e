/**
 * The retries of this entry that may still arrive, or have arrived, later than they are counted
 * where they were taken. The account of all entries counts these as well.
 */
import { RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';

export interface OpenRetriesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly windowMs: number;
}

/** A retry as it was taken; times on the clock `nowMs`. */
export interface TakenRetry {
  readonly service: string;
  readonly takenAtMs: number;
  /** An arrival until then is counted where the retry was taken. */
  readonly coveredUntilMs: number;
  /** When the retry ceases to count there. */
  readonly countsFromMs: number;
}

export interface OpenRetry {
  /** Records that the retry cannot arrive any more, and returns whether it was in time. */
  settle(): boolean;
  /** Records that the retry was not sent. */
  cancel(): void;
}

export interface OpenRetries {
  open(retry: TakenRetry): OpenRetry;
  /**
   * For each retry of a service to be counted by the account, the time until it must be, in
   * milliseconds.
   */
  listHeld(service: string): readonly number[];
  /** Services with retries that are open or held. */
  listServices(): readonly string[];
}

interface Row extends TakenRetry {
  /** When the last window with its arrival ends; infinite while it may still arrive. */
  untilMs: number;
}

export function createOpenRetries({ clock, windowMs }: OpenRetriesOptions): OpenRetries {
  const rows = new Map<string, Set<Row>>();

  function remove(row: Row): void {
    const set = rows.get(row.service);
    set?.delete(row);
    if (set?.size === 0) rows.delete(row.service);
  }

  function isHeld({ takenAtMs, untilMs }: Row): boolean {
    return Number.isFinite(untilMs) || clock.nowMs() >= takenAtMs + RETRY_ARRIVAL_MS;
  }

  return {
    open(retry) {
      const { service, coveredUntilMs } = retry;
      const row: Row = { ...retry, untilMs: Number.POSITIVE_INFINITY };
      rows.set(service, (rows.get(service) ?? new Set<Row>()).add(row));
      return {
        settle() {
          const nowMs = clock.nowMs();
          if (nowMs <= coveredUntilMs) remove(row);
          else row.untilMs = nowMs + windowMs;
          return nowMs <= coveredUntilMs;
        },
        cancel: () => remove(row),
      };
    },
    listHeld(service) {
      const nowMs = clock.nowMs();
      const all = [...(rows.get(service) ?? [])];
      all.filter(({ untilMs }) => untilMs < nowMs).forEach(remove);
      return all
        .filter((row) => row.untilMs >= nowMs && isHeld(row))
        .map(({ countsFromMs }) => Math.max(0, Math.round(countsFromMs - nowMs)));
    },
    listServices: () => [...rows.keys()],
  };
}
