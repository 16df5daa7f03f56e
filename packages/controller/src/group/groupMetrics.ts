/** Gauges of a replication group, as seen by one of its replicas. */
import type { Metrics } from '@spoolplank/node';
import type { GroupSummary } from './groupWatch';

export interface GroupSource {
  summary(): GroupSummary | null;
  /** Milliseconds since a quorum last confirmed a leader; infinite when it never did. */
  unconfirmedMs(): number;
}

/** Value of a gauge that the replica does not know. */
const UNKNOWN = Number.NaN;

/** Registers the gauges, which are evaluated when the metrics are read. */
export function registerGroupMetrics(metrics: Metrics, { summary, unconfirmedMs }: GroupSource) {
  metrics.gauge('spoolplank_group_voters', () => summary()?.voters.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_silent_voters', () => summary()?.silentVoters?.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_tolerable_losses', () => summary()?.tolerableLosses ?? UNKNOWN);
  metrics.gauge('spoolplank_group_unconfirmed_ms', unconfirmedMs);
}
