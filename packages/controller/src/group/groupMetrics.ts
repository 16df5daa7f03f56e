/** Gauges of a replicated log's group, as one of its replicas sees it. */
import type { Metrics } from '@spoolplank/node';
import type { GroupSummary } from './groupWatch';

export interface GroupSource {
  summary(): GroupSummary | null;
  /** Time in milliseconds since a leader was last confirmed by a quorum; infinite when never. */
  unconfirmedMs(): number;
}

/** Shown where a replica does not know a figure. */
const UNKNOWN = Number.NaN;

/** Registers the gauges; they are read when the metrics are. */
export function registerGroupMetrics(metrics: Metrics, { summary, unconfirmedMs }: GroupSource) {
  metrics.gauge('spoolplank_group_voters', () => summary()?.voters.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_silent_voters', () => summary()?.silentVoters?.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_tolerable_losses', () => summary()?.tolerableLosses ?? UNKNOWN);
  metrics.gauge('spoolplank_group_unconfirmed_ms', unconfirmedMs);
}
