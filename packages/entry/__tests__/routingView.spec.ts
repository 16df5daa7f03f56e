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

describe('what an entry routes by', () => {
  it('leaves out who is draining or gone, also when a late call says otherwise', () => {
    const { view, announce } = createTables();
    announce(createEngine('e1', 0, 8), 5);
    announce(createEngine('e1', 0, 8, { state: 'draining' }), 6);
    announce(createEngine('e1', 0, 8), 4);
    announce(createEngine('e2', 0, 8, { state: 'gone' }), FINAL_SEQUENCE);
    announce(createEngine('e2', 0, 8), 9);
    assert.deepEqual(namesOf(view), []);
  });

  it('gives an address to the backend server that announced itself last', () => {
    const { view, announce, clock } = createTables();
    announce(createEngine('old', 0, 8, { address: 'x:1' }));
    clock.advance(500);
    announce(createEngine('new', 0, 8, { address: 'x:1' }));
    assert.deepEqual(namesOf(view), ['new']);
  });

  it('leaves a silent one out while a source answers, and nobody when none does', () => {
    const { view, announce, clock, sync } = createTables();
    announce(createEngine('e1', 0, 8));
    clock.advance(10_000);
    assert.deepEqual(namesOf(view), ['e1']);
    sync();
    clock.advance(200);
    assert.deepEqual(namesOf(view), []);
  });

  it('does not take those for lost whose announcements are on their way', () => {
    const { view, announce, clock, sync } = createTables({ announcementMs: 300 });
    announce(createEngine('e1', 0, 8));
    // Two exchanges of 800 ms after an announcement of just now.
    clock.advance(1700);
    sync();
    assert.deepEqual(namesOf(view), ['e1']);
    clock.advance(1000);
    sync();
    assert.deepEqual(namesOf(view), []);
  });

  it('leaves a suspected one out until it announces itself again', () => {
    const { view, announce, table } = createTables();
    announce(createEngine('e1', 0, 8), 3);
    table.put(FACT_KEYS.suspicion('e1'), 3, { kind: 'suspicion', instanceId: 'e1' });
    assert.deepEqual(namesOf(view), []);
    // What the control plane says in between is no sign of life.
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
      entries: () => 1,
      unseenInFlight: () => 0,
      firstEventMs: (headId) => (headId === slow ? 2000 : 50),
      isAvoided: () => false,
      backoffMsOf: () => 0,
      maySendAlone: () => true,
      ...overrides,
    });
    tables.announce(createEngine('a1', 0, 4));
    tables.announce(createEngine('a2', 4, 8));
    tables.announce(createEngine('b1', 0, 4, { dataCentre: 'b' }));
    tables.announce(createEngine('b2', 4, 8, { dataCentre: 'b' }));
    return { ...tables, chains };
  }
  const none: ReadonlySet<string> = new Set();

  it('stays in its data centre, and inside one', () => {
    const { chains } = createChoice();
    const chain = chains.choose('engines', MODEL, none);
    assert.deepEqual(
      chain?.stages.map(({ id }) => id),
      ['a1', 'a2'],
    );
  });

  it('is made among the data centres that are asked for, however near another one is', () => {
    const { chains } = createChoice();
    const isApart = (dataCentre: string) => dataCentre === 'b';
    assert.equal(chains.choose('engines', MODEL, none, isApart)?.dataCentre, 'b');
    assert.equal(
      chains.choose('engines', MODEL, none, () => false),
      undefined,
    );
  });

  it('counts the memory beside the weights as capacity', () => {
    // 2,000 MB beside four layers; 840 tokens at half of a million bytes each.
    const { chains } = createChoice();
    assert.equal(Math.floor(chains.choose('engines', MODEL, none)?.capacity ?? 0), 4);
  });

  it('has no room for a new stream shortly before it is full, as loads are known late', () => {
    const { chains } = createChoice({ a1: 3, b1: 3 });
    assert.equal(chains.choose('engines', MODEL, none)?.hasRoom, true);
    const full = createChoice({ a1: 4.5, b1: 4.5 });
    const chain = full.chains.choose('engines', MODEL, none);
    assert.equal(chain?.hasRoom, false);
    assert.ok(chain && chain.inFlight < chain.capacity);
  });

  it('takes a dear chain with room rather than a cheap one without', () => {
    const { chains } = createChoice({ a1: 4.5, b1: 3 }, 'b1');
    const chain = chains.choose('engines', MODEL, none);
    assert.equal(chain?.dataCentre, 'b');
    assert.equal(chain.hasRoom, true);
  });

  it('leaves each of two entries its own half, whatever the other one seems to have taken', () => {
    const seemsFull = { entries: () => 2, unseenInFlight: () => 100 };
    const free = createChoice({ a1: 1, b1: 1 }, '', seemsFull);
    assert.equal(free.chains.choose('engines', MODEL, none)?.hasRoom, true);
    const taken = createChoice({ a1: 2.5, b1: 2.5 }, '', seemsFull);
    assert.equal(taken.chains.choose('engines', MODEL, none)?.hasRoom, false);
  });

  it('lends what others leave only up to a part of the chain', () => {
    const { chains } = createChoice({ a1: 4, b1: 4 }, '', { entries: () => 9 });
    const chain = chains.choose('engines', MODEL, none);
    assert.equal(chain?.hasRoom, false);
    assert.equal(chain.hasRoomForBegun, true);
  });

  it('goes round a slow engine where another one holds its layers too', () => {
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

  it('goes to another data centre when its own is full, slow, or lacks a layer', () => {
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

  it('is cut into whole events wherever the bytes are cut', () => {
    for (let at = 0; at <= events.length; at += 1) {
      const splitter = createEventSplitter();
      const first = splitter.push(Buffer.from(events.slice(0, at)));
      assert.ok(first.length === 0 || first.toString().endsWith('\n\n'));
      const whole = Buffer.concat([first, splitter.push(Buffer.from(events.slice(at)))]);
      assert.equal(whole.toString(), events);
      assert.equal(splitter.lastEventId, '3');
      assert.equal(splitter.hasPartialEvent, false);
    }
  });

  it('knows the last whole event when it breaks inside the next one', () => {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    assert.equal(splitter.lastEventId, '1');
    assert.equal(splitter.hasPartialEvent, true);
  });
});
