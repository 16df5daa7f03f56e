import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createSlotOutlook } from '../src/slots/slotOutlook';
import type { SlotOutlookOptions } from '../src/slots/slotOutlook';
import { createAsk } from './slotFixtures';

/** A data centre that loses its last chain while requests ask. */
function loseLastChain(options: Pick<SlotOutlookOptions, 'chainReturnsInMs'>) {
  const clock = createManualClock(10_000);
  let capacity = 10;
  const outlook = createSlotOutlook({
    clock,
    capacityOf: () => ({ capacity, inFlight: 0 }),
    hasChain: () => true,
    ...options,
  });
  const ask = createAsk();
  outlook.recordGrant('vm', ask, 'h');
  capacity = 0;
  outlook.isHopeless(ask, 0);
  clock.advance(401);
  return { outlook, ask };
}

describe('a data centre that has lost its last chain', () => {
  /**
   * Guards against refusals for want of a chain where nobody tells when loads of weights end: a
   * load of 500 ms serves requests that wait for up to 1200 ms.
   */
  it('lets requests wait while the times of loads are unknown', () => {
    const { outlook, ask } = loseLastChain({});
    assert.equal(outlook.isHopeless(ask, 0), undefined);
    assert.equal(outlook.hasLostProspect(ask), false);
  });

  it('refuses requests when no load ends within their wait', () => {
    [null, 1300].forEach((returnsInMs) => {
      const { outlook, ask } = loseLastChain({ chainReturnsInMs: () => returnsInMs });
      assert.equal(outlook.isHopeless(ask, 0), true);
      assert.equal(outlook.hasLostProspect(ask), true);
    });
  });

  it('lets requests wait for a load that ends within their wait', () => {
    const { outlook, ask } = loseLastChain({ chainReturnsInMs: () => 1100 });
    assert.notEqual(outlook.isHopeless(ask, 0), true);
    assert.equal(outlook.hasLostProspect(ask), false);
  });
});
