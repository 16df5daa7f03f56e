import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLimitedSite } from './limitFixtures';
import { createAsk } from './slotFixtures';
import type { Vm } from './slotFixtures';

const PER_S = 2;

/** Starts a site with a rate limit in force and no permit left. */
async function startLimited() {
  const site = createLimitedSite({ vms: 3 });
  await site.pass(1500);
  await site.callFor(1400, 20);
  site.setLimit('c1', PER_S);
  await site.callFor(6000, 20);
  return { site, vm: site.vms[0] as Vm };
}

describe('the permit of a slot', () => {
  it('is not refunded once its request was sent, however soon the request ended', async () => {
    const { site, vm } = await startLimited();
    const fromMs = site.clock.nowMs();
    const granted: string[] = [];
    // Each request is sent, and ends before its VM has listed its slot.
    while (site.clock.nowMs() < fromMs + 6000) {
      const ticket = `short-${site.clock.nowMs()}`;
      void site.find(vm, ticket).then((outcome) => {
        if (outcome.kind !== 'granted') return;
        granted.push(ticket);
        vm.client.recordReleased('a', ticket);
      });
      await site.pass(50);
    }
    assert.ok(granted.length > 0, 'none was granted');
    assert.ok(granted.length <= PER_S * 6 + 3, `${granted.length} in six seconds`);
  });

  it('is refunded when its ticket is cancelled, as after a grant by another data centre', async () => {
    const site = createLimitedSite({ vms: 3 });
    await site.pass(1500);
    await site.callFor(1400, 20);
    site.setLimit('c1', PER_S);
    await site.callFor(4000, 20);
    const [vm] = site.vms as [Vm];
    const { limits, client } = vm;
    const ask = (ticket: string, givenUp: readonly string[] = []) =>
      site.allocator().allocator.answer({
        holder: 'other',
        dataCentre: 'a',
        sequence: site.clock.nowMs(),
        slots: [],
        givenUp,
        ask: createAsk({ ticket, limits: limits.list(), mayWait: false }),
      });
    assert.ok(client);
    await site.pass(3000);
    const first = [await ask('t1'), await ask('t2'), await ask('t3')].map(({ kind }) => kind);
    assert.deepEqual(first, ['granted', 'granted', 'waiting'], 'two permits have accumulated');
    const again = [await ask('t4', ['t1', 't2']), await ask('t5'), await ask('t6')];
    assert.deepEqual(
      again.map(({ kind }) => kind),
      ['granted', 'granted', 'waiting'],
    );
  });
});
