import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { FactUpdate, SystemFact } from '@spoolplank/membership';
import { createManualClock } from '@spoolplank/shared';
import { createLoadSums } from '../src/loadSums';
import type { LoadSumsOptions } from '../src/loadSums';

function createStatement(
  entry: string,
  sequence: number,
  inFlight: Readonly<Record<string, number>>,
): FactUpdate<SystemFact> {
  return { key: `load/${entry}`, sequence, ageMs: 0, body: { kind: 'load', inFlight } };
}

function createSums(options: Partial<LoadSumsOptions> = {}) {
  return createLoadSums({
    clock: createManualClock(),
    retentionMs: 1000,
    reportsElsewhere: () => false,
    ...options,
  });
}

describe('the sum of the loads of entries', () => {
  it('counts each entry once, by its latest report', () => {
    const sums = createSums();
    sums.recordLoads([
      createStatement('h1/e', 2, { head: 5 }),
      createStatement('h2/e', 1, { head: 1 }),
    ]);
    sums.recordLoads([createStatement('h1/e', 1, { head: 9 })]);
    assert.deepEqual(sums.sum().inFlight, { head: 6 });
  });

  it('drops an entry that no longer reports', () => {
    const clock = createManualClock();
    const sums = createSums({ clock });
    sums.recordLoads([createStatement('e1', 1, { head: 5 })]);
    clock.advance(1001);
    assert.deepEqual(sums.sum().inFlight, {});
  });

  it('does not count an entry that reports to another control VM', () => {
    const moved = new Set<string>();
    const sums = createSums({ reportsElsewhere: (key) => moved.has(key) });
    sums.recordLoads([createStatement('h1/run', 1, { head: 5 }), createStatement('h2/run', 1, {})]);
    moved.add('load/h1/run');
    assert.deepEqual(sums.sum().inFlight, {});
  });

  it('drops the load of an earlier incarnation on the same VM', () => {
    const sums = createSums();
    sums.recordLoads([createStatement('h1/before', 7, { head: 5 })]);
    sums.recordLoads([
      createStatement('h1/after', 1, { head: 2 }),
      createStatement('h2/x', 1, { head: 1 }),
    ]);
    assert.deepEqual(sums.sum().inFlight, { head: 3 });
  });

  it('returns the other updates', () => {
    const sums = createSums();
    const suspicion: FactUpdate<SystemFact> = {
      key: 'suspicion/e',
      sequence: 1,
      ageMs: 0,
      body: { kind: 'suspicion', instanceId: 'e' },
    };
    assert.deepEqual(sums.recordLoads([createStatement('e1', 1, {}), suspicion]), [suspicion]);
  });
});
