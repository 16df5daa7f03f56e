/** Renders the copies of the control group and the possible recovery. */
import { renderTable } from '@spoolplank/shared';
import type { RecoveryReport } from './groupRecovery';

function renderDecision({ decision }: RecoveryReport): readonly string[] {
  if (decision.kind === 'refuse') return [`Nothing to recover: ${decision.reason}.`];
  const { copy, missing, risk } = decision;
  return [
    `No majority can be reached: ${missing.join(', ')} missing.`,
    `The group can go on from ${copy.replicaId}. Then ${risk}.`,
    `If the missing ones are gone for good, give this name to carry it out: ${copy.replicaId}`,
  ];
}

/** Renders a report; with a replica id, renders the result of the recovery from that replica. */
export function renderRecovery(report: RecoveryReport, replicaId?: string): readonly string[] {
  const rows = report.copies.map((copy) => [
    copy.replicaId,
    String(copy.generation),
    String(copy.lastTerm),
    String(copy.lastIndex),
    String(copy.commitIndex),
    copy.state,
    copy.configuration.voters.join(', '),
  ]);
  const header = ['REPLICA', 'GENERATION', 'TERM', 'LAST', 'IN FORCE', 'STATE', 'VOTERS'];
  return [
    ...renderTable([header, ...rows]),
    ...(report.without.length > 0 ? [`No copy: ${report.without.join(', ')}`] : []),
    '',
    ...(replicaId === undefined
      ? renderDecision(report)
      : [`The group goes on from ${replicaId}; the other VMs join it by themselves.`]),
  ];
}
