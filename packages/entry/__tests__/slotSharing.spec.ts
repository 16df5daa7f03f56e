import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { SharingSettings } from '@spoolplank/routing';
import { inTimeShareOf, playLoad, shareOf, SHARED, UNSHARED } from './sharingFixtures';
import { createDataCentre } from './slotFixtures';

const HEADS = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6', 'c7', 'c8', 'c9'];
const VMS = 6;

describe('classes during a burst of the patient one, then of the urgent one, on 5 of 9 chains', () => {
  const BURST_AT_MS = 4000;
  const URGENT_BURST_AT_MS = 10_000;
  const END_MS = 14_000;

  function periodOf(atMs: number): string {
    if (atMs < BURST_AT_MS) return ' before';
    return atMs < URGENT_BURST_AT_MS ? ' in the first burst' : ' in the second burst';
  }

  async function play(sharing: SharingSettings) {
    const site = createDataCentre(VMS, HEADS, { decisions: { ...DEFAULT_DECISIONS, sharing } });
    await site.pass(1500);
    site.schedule(() => site.setChains(HEADS.slice(0, 5)), BURST_AT_MS);
    const isFirst = (atMs: number) => atMs >= BURST_AT_MS && atMs < URGENT_BURST_AT_MS;
    const callers = [
      {
        name: 'urgent',
        classPriority: 0,
        perS: (atMs: number) => 48.4 * (atMs >= URGENT_BURST_AT_MS ? 1.7 : 1),
      },
      { name: 'usual', targetMs: 600, perS: () => 76.5 },
      {
        name: 'patient',
        classPriority: 2,
        targetMs: 1200,
        perS: (atMs: number) => 29.7 * (isFirst(atMs) ? 2.3 : 1),
      },
    ];
    return playLoad(site, callers, END_MS, periodOf);
  }

  // Guards against classes that have no precedence, and against a class that gets no slot at all.
  it('serve the urgent class in time, and give a tenth of the slots to the patient one', async () => {
    const { endsOf } = await play(SHARED);
    const without = await play(UNSHARED);
    const strict = await play({ ...SHARED, minClassShare: 0 });
    [' in the first burst', ' in the second burst'].forEach((period) => {
      const urgent = endsOf(`urgent${period}`);
      const patient = endsOf(`patient${period}`);
      const granted = urgent.granted + patient.granted + endsOf(`usual${period}`).granted;
      const before = inTimeShareOf(without.endsOf(`urgent${period}`));
      assert.ok(inTimeShareOf(urgent) > 0.95, `${inTimeShareOf(urgent)} in time${period}`);
      assert.ok(before < 0.85, `${before} in time${period} without classes`);
      assert.ok(patient.granted >= 0.095 * granted, `${patient.granted} of ${granted}${period}`);
    });
    assert.ok(shareOf(endsOf('patient before')) > 0.99);
    const starved = shareOf(strict.endsOf('patient in the second burst'));
    assert.ok(starved < 0.5 * shareOf(endsOf('patient in the second burst')), `${starved}`);
  });
});
