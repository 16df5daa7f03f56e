/** Crashes of backend servers as rows of the fact table. */
import { FACT_KEYS } from '@spoolplank/membership';
import type { ClearanceFact, CrashFact, Fact, SystemFact } from '@spoolplank/membership';

export type CrashRow = Fact<SystemFact> & { readonly body: CrashFact };

export function keyOf(body: CrashFact | ClearanceFact): string {
  return body.kind === 'crash' ? FACT_KEYS.crash(body) : FACT_KEYS.clearance(body.content);
}

/** Time of the crash on this VM's monotonic clock. */
export function endedAtMsOf({ body, receivedAtMs }: CrashRow): number {
  return receivedAtMs - (body.agedMs ?? 0);
}

/** Identifies a crashed run. The turn distinguishes incarnations reached under one instance id. */
export function runOf({ instanceId, turn }: CrashFact): string {
  return `${instanceId}#${turn}`;
}

/** Number of distinct server incarnations that crashed. */
export function countCrashes(rows: readonly CrashRow[]): number {
  return new Set(rows.map(({ body }) => runOf(body))).size;
}

export function groupByContent(
  rows: readonly CrashRow[],
): ReadonlyMap<string, readonly CrashRow[]> {
  const groups = new Map<string, CrashRow[]>();
  rows.forEach((row) => {
    const known = groups.get(row.body.content);
    if (known) known.push(row);
    else groups.set(row.body.content, [row]);
  });
  return groups;
}

/** Selects what the log and the dump show of crashes. */
export function describeCrashes(rows: readonly CrashRow[], nowMs: number) {
  return rows.map(({ body, receivedAtMs, origin }) => ({
    instanceId: body.instanceId,
    turn: body.turn,
    evidence: body.evidence,
    ranMs: body.ranMs,
    parts: body.parts ?? [],
    ageMs: Math.round(nowMs - receivedAtMs),
    origin,
  }));
}
