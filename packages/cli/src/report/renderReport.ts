/** Renders the report as a text table: one row per time span, one column per cause. */
import type { LoggedRequest } from './requestLog';

export interface ReportOptions {
  readonly requests: readonly LoggedRequest[];
  /** The cause of each request, in the order of `requests`. */
  readonly causes: readonly string[];
  /** Length of the time span of one row, in seconds. */
  readonly spanS: number;
}

type Counts = Map<string, number>;

function incrementCount(counts: Counts, cause: string): void {
  counts.set(cause, (counts.get(cause) ?? 0) + 1);
}

/** Returns the distinct causes, the most frequent first. */
function rankCauses(causes: readonly string[]): readonly string[] {
  const counts: Counts = new Map();
  causes.forEach((cause) => incrementCount(counts, cause));
  return [...counts].sort((a, b) => b[1] - a[1]).map(([cause]) => cause);
}

function alignRows(rows: readonly (readonly string[])[]): readonly string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  '),
  );
}

/** Renders the report; its times are seconds since the arrival of the first request. */
export function renderReport({ requests, causes, spanS }: ReportOptions): string {
  if (requests.length === 0) return 'no request ended in these logs';
  const firstSecond = requests.reduce(
    (earliest, { second }) => Math.min(earliest, second),
    Infinity,
  );
  const columns = rankCauses(causes);
  const spans = new Map<number, Counts>();
  requests.forEach(({ second }, index) => {
    const span = Math.floor((second - firstSecond) / spanS) * spanS;
    const counts: Counts = spans.get(span) ?? new Map<string, number>();
    spans.set(span, counts);
    incrementCount(counts, causes[index] ?? '');
  });
  const total: Counts = new Map();
  causes.forEach((cause) => incrementCount(total, cause));
  const toRow = (name: string, counts: Counts) => [
    name,
    ...columns.map((cause) => String(counts.get(cause) ?? 0)),
  ];
  const rows = [...spans]
    .sort(([a], [b]) => a - b)
    .map(([span, counts]) => toRow(`${span} s`, counts));
  return alignRows([['from', ...columns], ...rows, toRow('all', total)]).join('\n');
}
