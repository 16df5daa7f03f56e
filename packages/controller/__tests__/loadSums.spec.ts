import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createLoadSums } from '../src/loadSums';

function createStatement(
  entry: string,
  sequence: number,
  inFlight: Readonly<Record<string, number>>,
): FactUpdate<SystemFact> {
  return { key: `load/${entry}`, sequence, ageMs: 0, body: { kind: 'load', inFlight } };
}

describe('the sum of the loads of entries', () => {
  it('counts each entry once, by its latest statement', () => {
    const sums = createLoadSums({ clock: createManualClock(), retentionMs: 1000 });
    sums.take([createStatement('e1', 2, { head: 5 }), createStatement('e2', 1, { head: 1 })]);
    sums.take([createStatement('e1', 1, { head: 9 })]);
    assert.deepEqual(sums.sum().inFlight, { head: 6 });
  });

  it('forgets an entry that is silent', () => {
    const clock = createManualClock();
    const sums = createLoadSums({ clock, retentionMs: 1000 });
    sums.take([createStatement('e1', 1, { head: 5 })]);
    clock.advance(1001);
    assert.deepEqual(sums.sum().inFlight, {});
  });

  it('returns the other statements', () => {
    const sums = createLoadSums({ clock: createManualClock(), retentionMs: 1000 });
    const suspicion: FactUpdate<SystemFact> = {
      key: 'suspicion/e',
      sequence: 1,
      ageMs: 0,
      body: { kind: 'suspicion', instanceId: 'e' },
    };
    assert.deepEqual(sums.take([createStatement('e1', 1, {}), suspicion]), [suspicion]);
  });
});
