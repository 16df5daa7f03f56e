import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSyncHistory } from '../src/gossip/syncHistory';

function createHistory() {
  const clock = createManualClock(100_000);
  let syncedAtMs = Number.NEGATIVE_INFINITY;
  const history = createSyncHistory({ clock, syncedAtMs: () => syncedAtMs });
  /** Advances time, with a reply of a control VM every 800 ms or none at all. */
  function pass(durationMs: number, isAnswered: boolean): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 40) {
      clock.advance(40);
      if (isAnswered && passedMs % 800 === 0) syncedAtMs = clock.nowMs();
      history.tick();
    }
  }
  return { clock, history, pass };
}

describe('the list of members on a VM', () => {
  it('is complete after facts were exchanged for as long as a new member stays unknown', () => {
    const { history, pass } = createHistory();
    assert.equal(history.isMembershipComplete(), false);
    pass(2000, true);
    assert.equal(history.isMembershipComplete(), false);
    pass(1000, true);
    assert.equal(history.isMembershipComplete(), true);
  });

  it('is incomplete while no control VM replies, and for the same time afterwards', () => {
    const { history, pass } = createHistory();
    pass(4000, true);
    pass(3000, false);
    assert.equal(history.isMembershipComplete(), false);
    pass(2000, true);
    assert.equal(history.isMembershipComplete(), false);
    pass(1000, true);
    assert.equal(history.isMembershipComplete(), true);
  });

  it('is incomplete after a suspension', () => {
    const { clock, history, pass } = createHistory();
    pass(4000, true);
    clock.suspend(10_000);
    assert.equal(history.isMembershipComplete(), false);
    pass(1000, true);
    assert.equal(history.isMembershipComplete(), false);
  });
});
