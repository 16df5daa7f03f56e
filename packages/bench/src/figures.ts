/** Benchmark figures, their bounds, and the stored baseline that they are compared with. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** An upper or lower limit for a figure. */
export type Bound = { readonly atMost: number } | { readonly atLeast: number };

export interface Figure {
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
  /** Absent for figures that are reported without a check. */
  readonly bound?: Bound;
}

export interface EvaluatedFigure extends Figure {
  readonly bench: string;
  /** Value of the stored run, or null if none is stored. */
  readonly baseline: number | null;
  readonly ok: boolean;
}

export type Bench = () => Promise<readonly Figure[]>;

type Baselines = Readonly<Record<string, number>>;

const BASELINE_FILE = join('packages', 'bench', 'baseline.json');
const SIGNIFICANT_DIGITS = 4;

export function baselineKey(bench: string, metric: string): string {
  return `${bench}/${metric}`;
}

export function readBaselines(): Baselines {
  return JSON.parse(readFileSync(BASELINE_FILE, 'utf8')) as Baselines;
}

/** Writes figures into the stored baseline and keeps its other entries. */
export function storeBaselines(figures: readonly EvaluatedFigure[]): void {
  const added = figures.map(({ bench, metric, value }) => [baselineKey(bench, metric), value]);
  const merged: Baselines = { ...readBaselines(), ...Object.fromEntries(added) };
  const sorted = Object.entries(merged).sort(([a], [b]) => (a < b ? -1 : 1));
  writeFileSync(BASELINE_FILE, `${JSON.stringify(Object.fromEntries(sorted), null, 2)}\n`);
}

export function isWithinBound(value: number, bound: Bound | undefined): boolean {
  if (bound === undefined) return true;
  return 'atMost' in bound ? value <= bound.atMost : value >= bound.atLeast;
}

/** Rounds to the significant digits of a measurement. */
export function roundFigure(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

export function evaluate(bench: string, figure: Figure, baselines: Baselines): EvaluatedFigure {
  const value = roundFigure(figure.value);
  const baseline = baselines[baselineKey(bench, figure.metric)] ?? null;
  return { bench, ...figure, value, baseline, ok: isWithinBound(value, figure.bound) };
}
