/** Finds the announcements of engines that leave, among the facts that VMs replicate by gossip. */
import { FACT_KEYS, findBackend } from '@spoolplank/membership';
import type { FactTable, SystemFact } from '@spoolplank/membership';
import type { Departure } from './streamMigration';

/**
 * The announcement of an engine that leaves; undefined while it stays. Some engines withdraw first
 * and then serve on, so a withdrawal is an announcement too.
 */
export function findDeparture(
  table: Pick<FactTable<SystemFact>, 'find'>,
  instanceId: string,
): Departure | undefined {
  const leaving = table.find(FACT_KEYS.leaving(instanceId));
  if (leaving) return { announcedAtMs: leaving.receivedAtMs };
  const row = findBackend(table, instanceId);
  return row && row.body.state !== 'ready' ? { announcedAtMs: row.receivedAtMs } : undefined;
}
