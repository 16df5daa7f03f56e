import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createUnreportedLoad } from '../src/unseenLoad';

const PEERS = 8;
const CAPACITY = 134;

function createEstimate() {
  const clock = createManualClock();
  const unseen = createUnreportedLoad({ clock, windowMs: 1600 });
  const begin = (count: number) => {
    for (let each = 0; each < count; each += 1) unseen.record('head', 1);
  };
  return { clock, unseen, begin };
}

describe('the unreported load of other VMs', () => {
  it('limits the overload when nine VMs see an empty chain at the same time', () => {
    const { unseen, begin } = createEstimate();
    let own = 0;
    while (own + unseen.estimate('head', own, PEERS) < CAPACITY) {
      begin(1);
      own += 1;
    }
    const together = own * (PEERS + 1);
    assert.ok(together > CAPACITY * 0.9, `${together} of ${CAPACITY}`);
    assert.ok(together < CAPACITY * 1.4, `${together} of ${CAPACITY}`);
  });

  it('is 0 while requests start and end at the same rate', () => {
    const { unseen, begin } = createEstimate();
    begin(12);
    for (let each = 0; each < 10; each += 1) unseen.record('head', -1);
    assert.equal(unseen.estimate('head', 16, PEERS), 0);
  });

  it('is never negative, and expires with the age of the reports', () => {
    const { clock, unseen, begin } = createEstimate();
    unseen.record('head', -1);
    assert.equal(unseen.estimate('head', 3, PEERS), 0);
    begin(20);
    assert.ok(unseen.estimate('head', 20, PEERS) > 0);
    clock.advance(1601);
    assert.equal(unseen.estimate('head', 20, PEERS), 0);
  });

  it('is estimated separately for each chain', () => {
    const { unseen, begin } = createEstimate();
    begin(20);
    assert.equal(unseen.estimate('other', 0, PEERS), 0);
  });
});
