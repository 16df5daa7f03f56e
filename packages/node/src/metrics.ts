/** Counters, gauges and histograms in the Prometheus text format. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

export type Labels = Readonly<Record<string, string>>;

export interface Metrics {
  /** Increments a counter. */
  count(name: string, labels?: Labels, by?: number): void;
  /** Records a duration in a histogram, whose name ends in `_ms`. */
  observe(name: string, durationMs: number, labels?: Labels): void;
  /** Registers a gauge, whose value is read each time the metrics are rendered. */
  gauge(name: string, read: () => number): void;
  /** Reads a counter; 0 when it was never incremented. */
  valueOf(name: string, labels?: Labels): number;
  /** Renders all metrics. */
  render(): string;
}

const PERCENTILES: readonly number[] = [50, 95, 99];
const MAX_TRACKED_US = 3_600_000_000;
const US_PER_MS = 1000;

function seriesName(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return pairs.length ? `${name}{${pairs.join(',')}}` : name;
}

function renderHistogram(name: string, labels: Labels, histogram: Histogram): readonly string[] {
  const quantiles = PERCENTILES.map((percentile) => {
    const series = seriesName(name, { ...labels, quantile: String(percentile / 100) });
    return `${series} ${histogram.getValueAtPercentile(percentile) / US_PER_MS}`;
  });
  return [...quantiles, `${seriesName(`${name}_count`, labels)} ${histogram.totalCount}`];
}

export function createMetrics(): Metrics {
  const counters = new Map<string, number>();
  const gauges = new Map<string, () => number>();
  const histograms = new Map<
    string,
    { readonly name: string; readonly labels: Labels; readonly histogram: Histogram }
  >();

  return {
    count(name, labels = {}, by = 1) {
      const series = seriesName(name, labels);
      counters.set(series, (counters.get(series) ?? 0) + by);
    },
    observe(name, durationMs, labels = {}) {
      const series = seriesName(name, labels);
      let stored = histograms.get(series);
      if (!stored) {
        const histogram = build({
          lowestDiscernibleValue: 1,
          highestTrackableValue: MAX_TRACKED_US,
          numberOfSignificantValueDigits: 2,
          bitBucketSize: 32,
        });
        stored = { name, labels, histogram };
        histograms.set(series, stored);
      }
      stored.histogram.recordValue(
        Math.min(MAX_TRACKED_US, Math.max(1, Math.round(durationMs * US_PER_MS))),
      );
    },
    gauge(name, read) {
      gauges.set(name, read);
    },
    valueOf: (name, labels = {}) => counters.get(seriesName(name, labels)) ?? 0,
    render() {
      const lines = [
        ...[...counters].map(([series, value]) => `${series} ${value}`),
        ...[...gauges].map(([name, read]) => `${name} ${read()}`),
        ...[...histograms.values()].flatMap(({ name, labels, histogram }) =>
          renderHistogram(name, labels, histogram),
        ),
      ];
      return `${lines.sort().join('\n')}\n`;
    },
  };
}
