/** Statistics over benchmark measurements. */
import { build } from 'hdr-histogram-js';

/** The histogram stores integers; values keep three decimal places. */
const SCALE = 1000;

/** The value below which the given fraction of the values lies; 0 for no values. */
export function percentile(values: readonly number[], fraction: number): number {
  if (values.length === 0) return 0;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  values.forEach((value) => histogram.recordValue(Math.max(1, Math.round(value * SCALE))));
  return histogram.getValueAtPercentile(fraction * 100) / SCALE;
}

export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line through points by least squares. */
export function fitLine(points: readonly { readonly x: number; readonly y: number }[]): {
  readonly slope: number;
  readonly intercept: number;
} {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
