/** The figures of a benchmark: their bounds, and the baseline they are compared with. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** The side on which a figure must not leave its bound. */
export type Bound = { readonly atMost: number } | { readonly atLeast: number };

export interface Figure {
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
  /** Absent for a figure that is only reported. */
  readonly bound?: Bound;
}

export interface JudgedFigure extends Figure {
  readonly bench: string;
  /** What the stored run gave; null when it is not stored. */
  readonly baseline: number | null;
  readonly ok: boolean;
}

export type Bench = () => Promise<readonly Figure[]>;

type Baselines = Readonly<Record<string, number>>;

const BASELINE_FILE = join('packages', 'bench', 'baseline.json');
const DIGITS = 4;

export function baselineKey(bench: string, metric: string): string {
  return `${bench}/${metric}`;
}

export function readBaselines(): Baselines {
  return JSON.parse(readFileSync(BASELINE_FILE, 'utf8')) as Baselines;
}

/** Adds figures to the stored baseline. */
export function storeBaselines(figures: readonly JudgedFigure[]): void {
  const added = figures.map(({ bench, metric, value }) => [baselineKey(bench, metric), value]);
  const merged: Baselines = { ...readBaselines(), ...Object.fromEntries(added) };
  const sorted = Object.entries(merged).sort(([a], [b]) => (a < b ? -1 : 1));
  writeFileSync(BASELINE_FILE, `${JSON.stringify(Object.fromEntries(sorted), null, 2)}\n`);
}

export function isWithin(value: number, bound: Bound | undefined): boolean {
  if (bound === undefined) return true;
  return 'atMost' in bound ? value <= bound.atMost : value >= bound.atLeast;
}

/** Rounds to what a measurement can mean. */
export function roundFigure(value: number): number {
  return Number(value.toPrecision(DIGITS));
}

export function judge(bench: string, figure: Figure, baselines: Baselines): JudgedFigure {
  const value = roundFigure(figure.value);
  const baseline = baselines[baselineKey(bench, figure.metric)] ?? null;
  return { bench, ...figure, value, baseline, ok: isWithin(value, figure.bound) };
}
