/** Guards the totals by engine, without which shared engines and moved streams are overfilled. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { toHeldPath } from '../src/engineLoad';
import type { HeldPath } from '../src/engineLoad';
import { freeRequests, jointCapacity, toEngineRooms } from '../src/pathCapacity';
import { planSharedPaths } from '../src/sharedPaths';
import { createSlotLedger } from '../src/slotLedger';
import type { PathStage } from '../src/stagePath';
import { createModel, createStageEngine } from './fixtures';

const OVER_A: HeldPath = [
  ['h', 30],
  ['a', 50],
];
const OVER_B: HeldPath = [
  ['h', 30],
  ['b', 50],
];

function createFixture() {
  const clock = createManualClock(1000);
  const ledger = createSlotLedger({ clock, leaseMs: 2600, unclaimedMs: 400 });
  const slot = (ticket: string, path?: number) => ({
    ticket,
    headId: 'h',
    size: 0.1,
    ...(path === undefined ? {} : { path }),
  });
  return { clock, ledger, slot, loadOf: (id: string) => ledger.engines.loadOf(id) };
}

describe('the totals of the slot ledger by engine', () => {
  it('follow a stream to the path that its holder lists, and end at exactly zero', () => {
    const { ledger, slot, loadOf } = createFixture();
    ['r1', 'r2', 'r3'].forEach((ticket) => ledger.grant('vm1', slot(ticket), OVER_A));
    const slots = [slot('r1', 1), slot('r2', 0), slot('r3', 0)];
    ledger.report('vm1', { sequence: 1, slots, paths: [OVER_A, OVER_B] });
    assert.ok(Math.abs(loadOf('a') - 10) < 1e-9);
    assert.ok(Math.abs(loadOf('b') - 5) < 1e-9);
    assert.ok(Math.abs(loadOf('h') - 9) < 1e-9);
    ledger.report('vm1', { sequence: 2, slots: [slot('r1')] });
    ledger.cancel('vm1', 'r1');
    // An idle chain takes any request, so a rounding error must not count as load.
    assert.deepEqual(['h', 'a', 'b'].map(loadOf), [0, 0, 0]);
  });

  it('keep the known path when a list contains no paths', () => {
    const { ledger, slot, loadOf } = createFixture();
    ledger.grant('vm1', slot('r1'), OVER_A);
    ledger.report('vm1', { sequence: 1, slots: [slot('r1')] });
    assert.equal(loadOf('a'), 5);
    ledger.report('vm1', { sequence: 2, slots: [slot('r1', 0)], paths: [OVER_B] });
    ledger.report('vm1', { sequence: 3, slots: [slot('r1')] });
    assert.deepEqual([loadOf('a'), loadOf('b')], [0, 5]);
  });

  it('drop the granted path of a slot that its holder lists on another chain', () => {
    const { ledger, slot, loadOf } = createFixture();
    ledger.grant('vm1', slot('r1'), OVER_A);
    ledger.report('vm1', { sequence: 1, slots: [{ ...slot('r1'), headId: 'other' }] });
    assert.deepEqual(
      [loadOf('a'), ledger.heldSizeOf('h'), ledger.heldSizeOf('other')],
      [0, 0, 0.1],
    );
  });

  it('leave out a slot with an unknown path, which counts for its head', () => {
    const { ledger, slot, loadOf } = createFixture();
    ledger.report('vm1', { sequence: 1, slots: [slot('r1', 7)], paths: [OVER_A] });
    assert.deepEqual([loadOf('h'), ledger.heldSizeOf('h')], [0, 0.1]);
  });

  it('drop the slots of a lost holder', () => {
    const { clock, ledger, slot, loadOf } = createFixture();
    ledger.report('vm1', { sequence: 1, slots: [slot('r1', 0)], paths: [OVER_A] });
    clock.advance(2700);
    assert.equal(loadOf('a'), 0);
  });
});

describe('the capacity of paths that share an engine', () => {
  const model = createModel();
  const stage = (id: string, firstLayer: number, endLayer: number): PathStage => ({
    id,
    address: `${id}:80`,
    firstLayer,
    endLayer,
  });
  const rooms = toEngineRooms(
    ['h1', 'h2', 'a', 'b'].map((id) => ({
      id,
      acceleratorKind: 'large',
      heldLayers: 40,
      slots: 100,
    })),
    model,
  );
  const pathA = [stage('h1', 0, 40), stage('a', 40, 80)];
  const alone = { loadOf: () => 0, headSize: 0, share: 1 };

  it('is limited by the fullest engine and by the slots of the first one', () => {
    const { capacity = 0 } = rooms.get('a') ?? {};
    const loads = new Map([['a', capacity / 2]]);
    const use = { ...alone, loadOf: (id: string) => loads.get(id) ?? 0 };
    assert.ok(freeRequests(pathA, rooms, use) < capacity / 2 / 40 + 0.01);
    assert.ok(freeRequests(pathA, rooms, { ...alone, headSize: 99 }) < 1.01);
  });

  it('is that of the only holder of a layer, however many heads there are', () => {
    const engines = [
      createStageEngine('h1', 0, 40),
      createStageEngine('h2', 0, 40),
      createStageEngine('a', 40, 80),
    ];
    const paths = planSharedPaths(engines, { layers: 80, rooms });
    assert.deepEqual(new Set(paths.map(([head]) => head?.id)), new Set(['h1', 'h2']));
    const single = freeRequests(pathA, rooms, alone);
    const joint = jointCapacity(paths, rooms);
    // Both heads depend on the only holder of the last layers.
    assert.ok(joint > single * 0.9 && joint <= single * 1.01, `${joint} of ${single}`);
  });

  it('grows with a second holder', () => {
    const engines = ['h1', 'h2']
      .map((id) => createStageEngine(id, 0, 40))
      .concat(['a', 'b'].map((id) => createStageEngine(id, 40, 80)));
    const paths = planSharedPaths(engines, { layers: 80, rooms });
    const single = freeRequests(pathA, rooms, alone);
    assert.ok(jointCapacity(paths, rooms) > single * 1.8);
    assert.deepEqual(toHeldPath(pathA), [
      ['h1', 40],
      ['a', 40],
    ]);
  });
});
