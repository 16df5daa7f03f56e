import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FACT_KEYS, FINAL_SEQUENCE } from '@spoolplank/membership';
import { createSeededRandom } from '@spoolplank/shared';
import { createChainChoice } from '../src/dispatch/chainChoice';
import type { ChainChoiceOptions } from '../src/dispatch/chainChoice';
import { createEventSplitter } from '../src/dispatch/eventSplitter';
import { createEngine, createTables, MODEL } from './fixtures';

function namesOf(view: ReturnType<typeof createTables>['view']): readonly string[] {
  return view.listBackends('engines').map(({ instanceId }) => instanceId);
}

describe('the routing view of an entry', () => {
  it('excludes servers that are draining or gone, even when a late call says otherwise', () => {
    const { view, announce } = createTables();
    announce(createEngine('e1', 0, 8), 5);
    announce(createEngine('e1', 0, 8, { state: 'draining' }), 6);
    announce(createEngine('e1', 0, 8), 4);
    announce(createEngine('e2', 0, 8, { state: 'gone' }), FINAL_SEQUENCE);
    announce(createEngine('e2', 0, 8), 9);
    assert.deepEqual(namesOf(view), []);
  });

  it('assigns an address to the backend server that announced it last', () => {
    const { view, announce, clock } = createTables();
    announce(createEngine('old', 0, 8, { address: 'x:1' }));
    clock.advance(500);
    announce(createEngine('new', 0, 8, { address: 'x:1' }));
    assert.deepEqual(namesOf(view), ['new']);
  });

  it('excludes a silent server while a control VM replies, but keeps it while none does', () => {
    const { view, announce, clock, sync } = createTables();
    announce(createEngine('e1', 0, 8));
    clock.advance(10_000);
    assert.deepEqual(namesOf(view), ['e1']);
    sync();
    clock.advance(200);
    assert.deepEqual(namesOf(view), []);
  });

  it('does not exclude a server whose announcement is still on its way', () => {
    const { view, announce, clock, sync } = createTables({ announcementMs: 300 });
    announce(createEngine('e1', 0, 8));
    // A new announcement may be delayed by two exchanges of 800 ms.
    clock.advance(1700);
    sync();
    assert.deepEqual(namesOf(view), ['e1']);
    clock.advance(1000);
    sync();
    assert.deepEqual(namesOf(view), []);
  });

  it('excludes a suspected server until it announces itself again', () => {
    const { view, announce, table } = createTables();
    announce(createEngine('e1', 0, 8), 3);
    table.put(FACT_KEYS.suspicion('e1'), 3, { kind: 'suspicion', instanceId: 'e1' });
    assert.deepEqual(namesOf(view), []);
    // A fractional sequence number comes from the control plane and is no sign of life.
    announce(createEngine('e1', 0, 4), 3.5);
    assert.deepEqual(namesOf(view), []);
    announce(createEngine('e1', 0, 8), 4);
    assert.deepEqual(namesOf(view), ['e1']);
  });
});

describe('the choice of a chain', () => {
  function createChoice(
    own: Readonly<Record<string, number>> = {},
    slow = '',
    overrides: Partial<ChainChoiceOptions> = {},
  ) {
    const tables = createTables();
    const chains = createChainChoice({
      view: tables.view,
      random: createSeededRandom(1),
      dataCentre: 'a',
      ownInFlight: (headId) => own[headId] ?? 0,
      countEntries: () => 1,
      unreportedInFlight: () => 0,
      firstEventMs: (headId) => (headId === slow ? 2000 : 50),
      isAvoided: () => false,
      backoffMsOf: () => 0,
      maySendWithoutPermit: () => true,
      ...overrides,
    });
    tables.announce(createEngine('a1', 0, 4));
    tables.announce(createEngine('a2', 4, 8));
    tables.announce(createEngine('b1', 0, 4, { dataCentre: 'b' }));
    tables.announce(createEngine('b2', 4, 8, { dataCentre: 'b' }));
    return { ...tables, chains };
  }
  const none: ReadonlySet<string> = new Set();

  it('selects engines of one data centre only, by default that of the entry', () => {
    const { chains } = createChoice();
    const chain = chains.choose('engines', MODEL, none);
    assert.deepEqual(
      chain?.stages.map(({ id }) => id),
      ['a1', 'a2'],
    );
  });

  it('is limited to the requested data centres, however near another one is', () => {
    const { chains } = createChoice();
    const isRemote = (dataCentre: string) => dataCentre === 'b';
    assert.equal(chains.choose('engines', MODEL, none, isRemote)?.dataCentre, 'b');
    assert.equal(
      chains.choose('engines', MODEL, none, () => false),
      undefined,
    );
  });

  it('derives the capacity from the memory that the weights leave free', () => {
    // Four layers leave 2,000 MB free; a request has 840 tokens at half a million bytes each.
    const { chains } = createChoice();
    assert.equal(Math.floor(chains.choose('engines', MODEL, none)?.capacity ?? 0), 4);
  });

  it('admits no new stream to a chain that is nearly full, as loads are known late', () => {
    const { chains } = createChoice({ a1: 3, b1: 3 });
    assert.equal(chains.choose('engines', MODEL, none)?.hasCapacity, true);
    const full = createChoice({ a1: 4.5, b1: 4.5 });
    const chain = full.chains.choose('engines', MODEL, none);
    assert.equal(chain?.hasCapacity, false);
    assert.ok(chain && chain.inFlight < chain.capacity);
  });

  it('prefers an expensive chain with free capacity to a cheap one without', () => {
    const { chains } = createChoice({ a1: 4.5, b1: 3 }, 'b1');
    const chain = chains.choose('engines', MODEL, none);
    assert.equal(chain?.dataCentre, 'b');
    assert.equal(chain.hasCapacity, true);
  });

  it('guarantees each of two entries its own half, whatever load the other one seems to have', () => {
    const seemsFull = { countEntries: () => 2, unreportedInFlight: () => 100 };
    const free = createChoice({ a1: 1, b1: 1 }, '', seemsFull);
    assert.equal(free.chains.choose('engines', MODEL, none)?.hasCapacity, true);
    const taken = createChoice({ a1: 2.5, b1: 2.5 }, '', seemsFull);
    assert.equal(taken.chains.choose('engines', MODEL, none)?.hasCapacity, false);
  });

  it('lets an entry exceed its quota only up to a share of the chain', () => {
    const { chains } = createChoice({ a1: 4, b1: 4 }, '', { countEntries: () => 9 });
    const chain = chains.choose('engines', MODEL, none);
    assert.equal(chain?.hasCapacity, false);
    assert.equal(chain.hasCapacityForResumed, true);
  });

  it('avoids a slow engine when another one holds the same layers', () => {
    const { chains, announce, table, clock } = createChoice();
    announce(createEngine('a3', 4, 8));
    const pathOf = () => chains.choose('engines', MODEL, none)?.stages.map(({ id }) => id);
    const [, usual = ''] = pathOf() ?? [];
    clock.advance(200);
    table.put(FACT_KEYS.straggler(usual), 1, {
      kind: 'straggler',
      instanceId: usual,
      slowdown: 12,
    });
    assert.notEqual(pathOf()?.[1], usual);
  });

  it('moves to another data centre when its own is full, slow, or lacks a layer', () => {
    assert.equal(createChoice({ a1: 4 }).chains.choose('engines', MODEL, none)?.dataCentre, 'b');
    assert.equal(createChoice({}, 'a1').chains.choose('engines', MODEL, none)?.dataCentre, 'b');
    const { chains, announce } = createChoice();
    announce(createEngine('a2', 4, 8, { state: 'draining' }), 2);
    assert.equal(chains.choose('engines', MODEL, none)?.dataCentre, 'b');
  });

  it('repairs only the part that was lost, and keeps the first engine', () => {
    const { chains, announce } = createChoice();
    announce(createEngine('a3', 4, 8));
    const stages = [
      { id: 'a1', address: 'a1:80', firstLayer: 0, endLayer: 4 },
      { id: 'a2', address: 'a2:80', firstLayer: 4, endLayer: 8 },
    ];
    assert.deepEqual(
      chains.repair('engines', MODEL, stages, new Set(['a2']))?.map(({ id }) => id),
      ['a1', 'a3'],
    );
    assert.equal(chains.repair('engines', MODEL, stages, new Set(['a1'])), undefined);
  });
});

describe('a stream of events', () => {
  const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

  it('is split into complete events wherever the bytes are split', () => {
    for (let at = 0; at <= events.length; at += 1) {
      const splitter = createEventSplitter();
      const first = splitter.push(Buffer.from(events.slice(0, at)));
      assert.ok(first.length === 0 || first.toString().endsWith('\n\n'));
      const complete = Buffer.concat([first, splitter.push(Buffer.from(events.slice(at)))]);
      assert.equal(complete.toString(), events);
      assert.equal(splitter.lastEventId, '3');
      assert.equal(splitter.hasPartialEvent, false);
    }
  });

  it('keeps the id of the last complete event when it breaks inside the next one', () => {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    assert.equal(splitter.lastEventId, '1');
    assert.equal(splitter.hasPartialEvent, true);
  });
});
