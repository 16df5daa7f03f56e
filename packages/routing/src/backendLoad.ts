/**
 * Load of backend servers as estimated by an entry VM. Reports lag behind, so each is corrected by
 * the requests that this VM started or finished after the report arrived.
 */
import type { Announcement } from '@spoolplank/membership';

interface LoadRow {
  /** Together with `sequence`, identifies the last report that was applied. */
  incarnation: number;
  sequence: number;
  reported: number;
  /** Requests of this VM that run on the backend server. */
  own: number;
  /** `own` at the time of the last report. */
  ownAtReport: number;
  /** Moving average of the response time, in milliseconds. */
  latencyMs: number;
  /** Number of consecutive failures. */
  failures: number;
  ejectedUntilMs: number;
}

export interface BackendLoadOptions {
  /** Number of consecutive failures after which a backend server is ejected. */
  readonly ejectAfterFailures?: number;
  readonly ejectDurationMs?: number;
  /** Maximum share of candidates that may be ejected at the same time. */
  readonly maxEjectedShare?: number;
}

export interface BackendLoadTable {
  /** Applies a report, unless it is the one that was applied last. */
  report(announcement: Pick<Announcement, 'name' | 'incarnation' | 'sequence' | 'load'>): void;
  start(name: string): void;
  finish(
    name: string,
    result: { readonly isFailure: boolean; readonly durationMs: number; readonly nowMs: number },
  ): void;
  /** Records that a request was not accepted, which says nothing about the server's health. */
  cancel(name: string): void;
  /** Estimated number of running and queued requests. */
  estimate(name: string): number;
  /** Number of requests of this VM that run on the backend server. */
  own(name: string): number;
  latencyMs(name: string): number;
  /** Candidates that are not ejected, or all of them if more than `maxEjectedShare` are. */
  withoutEjected<T extends { readonly name: string }>(
    candidates: readonly T[],
    nowMs: number,
  ): readonly T[];
  forget(name: string): void;
}

const DEFAULTS = { ejectAfterFailures: 3, ejectDurationMs: 5000, maxEjectedShare: 0.5 };
const LATENCY_WEIGHT = 0.2;

export function createBackendLoadTable(options: BackendLoadOptions = {}): BackendLoadTable {
  const { ejectAfterFailures, ejectDurationMs, maxEjectedShare } = { ...DEFAULTS, ...options };
  const rows = new Map<string, LoadRow>();

  function rowOf(name: string): LoadRow {
    const known = rows.get(name);
    if (known) return known;
    const row: LoadRow = {
      incarnation: 0,
      sequence: 0,
      reported: 0,
      own: 0,
      ownAtReport: 0,
      latencyMs: 0,
      failures: 0,
      ejectedUntilMs: 0,
    };
    rows.set(name, row);
    return row;
  }

  return {
    report({ name, incarnation, sequence, load }) {
      const row = rowOf(name);
      if (row.incarnation === incarnation && row.sequence === sequence) return;
      // Failures before a restart are not evidence against the new process.
      if (row.incarnation !== incarnation) Object.assign(row, { failures: 0, ejectedUntilMs: 0 });
      Object.assign(row, { incarnation, sequence });
      row.reported = load.running + load.queued;
      row.ownAtReport = row.own;
    },
    start(name) {
      rowOf(name).own += 1;
    },
    finish(name, { isFailure, durationMs, nowMs }) {
      const row = rowOf(name);
      row.own = Math.max(0, row.own - 1);
      row.failures = isFailure ? row.failures + 1 : 0;
      if (row.failures >= ejectAfterFailures) row.ejectedUntilMs = nowMs + ejectDurationMs;
      if (isFailure) return;
      row.ejectedUntilMs = 0;
      row.latencyMs =
        row.latencyMs === 0
          ? durationMs
          : row.latencyMs + LATENCY_WEIGHT * (durationMs - row.latencyMs);
    },
    cancel(name) {
      const row = rowOf(name);
      row.own = Math.max(0, row.own - 1);
    },
    estimate(name) {
      const { reported, own, ownAtReport } = rowOf(name);
      return Math.max(own, reported + own - ownAtReport);
    },
    own: (name) => rowOf(name).own,
    latencyMs: (name) => rowOf(name).latencyMs,
    withoutEjected(candidates, nowMs) {
      const healthy = candidates.filter(({ name }) => rowOf(name).ejectedUntilMs <= nowMs);
      const isTooFew = candidates.length - healthy.length > candidates.length * maxEjectedShare;
      return isTooFew ? candidates : healthy;
    },
    forget(name) {
      rows.delete(name);
    },
  };
}
