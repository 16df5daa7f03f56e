/**
 * Reads the slowdown of an engine, as last published by the control VM of its data centre. A
 * straggler is an engine that runs slower than other engines of its kind.
 */
import type { FactTable } from './factTable';
import { FACT_KEYS } from './systemFacts';
import type { SystemFact } from './systemFacts';

/** Engines are polled every two seconds; an older fact has missed two renewals. */
const STRAGGLER_LIFETIME_MS = 6000;

/** Returns the slowdown of an engine; 1, the usual speed, when there is no recent fact. */
export function readSlowdown(
  table: Pick<FactTable<SystemFact>, 'find'>,
  instanceId: string,
  nowMs: number,
): number {
  const fact = table.find(FACT_KEYS.straggler(instanceId));
  if (fact?.body.kind !== 'straggler' || nowMs - fact.receivedAtMs > STRAGGLER_LIFETIME_MS)
    return 1;
  return fact.body.slowdown;
}
