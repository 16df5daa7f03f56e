/** Gauges of a replication group, as seen by one of its replicas. */
import type { Metrics } from '@spoolplank/node';
import type { GroupSummary } from './groupWatch';

/** The replication group of a control VM, as far as the gauges need it; see `GroupMember`. */
export interface ObservedGroup {
  /** Null while the replica searches for its group. */
  summary(): GroupSummary | null;
  /** Time in milliseconds since the group last had a confirmed leader; infinite if it never had. */
  unconfirmedMs(): number;
}

/** Value of a gauge that the replica does not know. */
const UNKNOWN = Number.NaN;

/** Registers the gauges, which are evaluated when the metrics are read. */
export function registerGroupMetrics(metrics: Metrics, { summary, unconfirmedMs }: ObservedGroup) {
  metrics.gauge('spoolplank_group_voters', () => summary()?.voters.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_missing_voters', () => summary()?.missingVoters ?? UNKNOWN);
  metrics.gauge('spoolplank_group_silent_voters', () => summary()?.silentVoters?.length ?? UNKNOWN);
  metrics.gauge('spoolplank_group_tolerable_losses', () => summary()?.tolerableLosses ?? UNKNOWN);
  metrics.gauge('spoolplank_group_unconfirmed_ms', unconfirmedMs);
}
