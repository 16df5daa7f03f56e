import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Announcement, EngineDescription } from '@spoolplank/membership';
import { createSeededRandom } from '@spoolplank/shared';
import { createBackendLoadTable, findLineageProblem, selectBackendServer, selectChain } from '..';
import type { ChainRequest, TokenEvent } from '..';

function server(name: string, overrides: Partial<Announcement> = {}): Announcement {
  return {
    name,
    dataCentre: 'dc1',
    host: '127.0.0.1',
    port: 80,
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    services: ['bookings'],
    load: { running: 0, queued: 0 },
    ...overrides,
  };
}

function engine(
  name: string,
  firstLayer: number,
  lastLayer: number,
  overrides: Partial<EngineDescription> = {},
): Announcement {
  const description: EngineDescription = {
    model: 'm',
    version: 'v1',
    adapters: [],
    acceleratorKind: 'a',
    firstLayer,
    lastLayer,
    maxBatch: 8,
    stepBaseMs: 5,
    stepPerItemMs: 0.5,
    isFencingChecked: true,
    links: [],
    ...overrides,
  };
  return server(name, { services: [], engine: description });
}

function chainRequest(overrides: Partial<ChainRequest> = {}): ChainRequest {
  return { model: 'm', layers: 10, excluded: new Set(), dataCentre: 'dc1', nowMs: 0, ...overrides };
}

describe('selection of a chain', () => {
  it('covers every layer once, in order, with the fastest engines', () => {
    const engines = [
      engine('b-slow', 5, 9, { stepBaseMs: 50 }),
      engine('a', 0, 4),
      engine('b', 5, 9),
      engine('whole', 0, 9, { stepBaseMs: 40 }),
    ];
    const chain = selectChain(engines, chainRequest(), createBackendLoadTable());
    assert.deepEqual(
      chain?.stages.map(({ name }) => name),
      ['a', 'b'],
    );
  });

  it('finds none when a layer is missing or ranges overlap', () => {
    const engines = [engine('a', 0, 4), engine('b', 6, 9), engine('c', 4, 9)];
    assert.equal(selectChain(engines, chainRequest(), createBackendLoadTable()), undefined);
  });

  it('never mixes versions of a model', () => {
    const engines = [engine('a', 0, 4), engine('b', 5, 9, { version: 'v2' })];
    assert.equal(selectChain(engines, chainRequest(), createBackendLoadTable()), undefined);
    const more = [...engines, engine('b1', 5, 9, { stepBaseMs: 500 })];
    assert.equal(selectChain(more, chainRequest(), createBackendLoadTable())?.version, 'v1');
  });

  it('includes the cost of a slow link and avoids it', () => {
    const links = [{ to: 'b', delayMs: 100, bytesPerS: 1e9 }];
    const engines = [
      engine('a', 0, 4, { links }),
      engine('b', 5, 9),
      engine('c', 5, 9, { stepBaseMs: 20 }),
    ];
    const chain = selectChain(engines, chainRequest(), createBackendLoadTable());
    assert.deepEqual(
      chain?.stages.map(({ name }) => name),
      ['a', 'c'],
    );
  });

  it('balances sessions over equal chains by the requests that this VM has started', () => {
    const engines = [engine('a1', 0, 9), engine('a2', 0, 9)];
    const loads = createBackendLoadTable();
    const counts = new Map<string, number>();
    for (let round = 0; round < 20; round += 1) {
      engines.forEach((announcement) => loads.report(announcement));
      const name = selectChain(engines, chainRequest(), loads)?.stages[0]?.name ?? '';
      loads.start(name);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    assert.deepEqual([...counts.values()], [10, 10]);
  });
});

describe('load of a backend server', () => {
  it('is the last report, corrected by requests started and finished since', () => {
    const loads = createBackendLoadTable();
    loads.start('s');
    loads.report(server('s', { load: { running: 4, queued: 1 } }));
    loads.start('s');
    assert.equal(loads.estimate('s'), 6);
    loads.finish('s', { isFailure: false, durationMs: 1, nowMs: 0 });
    loads.finish('s', { isFailure: false, durationMs: 1, nowMs: 0 });
    assert.equal(loads.estimate('s'), 4);
  });

  it('ejects a server that keeps failing, but never more than half of them', () => {
    const loads = createBackendLoadTable();
    const fail = (name: string) => {
      for (let times = 0; times < 3; times += 1) {
        loads.start(name);
        loads.finish(name, { isFailure: true, durationMs: 1, nowMs: 0 });
      }
    };
    const all = [server('a'), server('b'), server('c')];
    fail('a');
    assert.deepEqual(
      loads.withoutEjected(all, 1).map(({ name }) => name),
      ['b', 'c'],
    );
    assert.equal(loads.withoutEjected(all, 6000).length, 3, 'the ejection ends after a while');
    fail('b');
    assert.equal(loads.withoutEjected(all, 1).length, 3);
  });

  it('ignores failures of an earlier incarnation', () => {
    const loads = createBackendLoadTable();
    for (let times = 0; times < 3; times += 1)
      loads.finish('a', { isFailure: true, durationMs: 1, nowMs: 0 });
    loads.report(server('a', { incarnation: 2 }));
    assert.equal(loads.withoutEjected([server('a'), server('b')], 1).length, 2);
  });
});

describe('selection of a backend server', () => {
  it('prefers the less loaded of two servers, and a local one to a remote one', () => {
    const loads = createBackendLoadTable();
    const random = createSeededRandom(1);
    const request = {
      service: 'bookings',
      dataCentre: 'dc1',
      excluded: new Set<string>(),
      nowMs: 0,
    };
    const busy = server('busy', { load: { running: 9, queued: 0 } });
    loads.report(busy);
    for (let times = 0; times < 20; times += 1) {
      assert.equal(
        selectBackendServer([busy, server('idle')], request, loads, random)?.name,
        'idle',
      );
      assert.equal(
        selectBackendServer(
          [server('near'), server('far', { dataCentre: 'dc2' })],
          request,
          loads,
          random,
        )?.name,
        'near',
      );
    }
  });

  it('selects neither a server that was tried before nor one without the service', () => {
    const request = { service: 'bookings', dataCentre: 'dc1', excluded: new Set(['a']), nowMs: 0 };
    const candidates = [server('a'), server('b', { services: ['other'] })];
    assert.equal(
      selectBackendServer(candidates, request, createBackendLoadTable(), createSeededRandom(1)),
      undefined,
    );
  });
});

describe('lineage of a token', () => {
  const stages = [
    { name: 'a', host: '', port: 1, firstLayer: 0, lastLayer: 4 },
    { name: 'b', host: '', port: 2, firstLayer: 5, lastLayer: 9 },
  ];
  const mark = (name: string, firstLayer: number, lastLayer: number) => ({
    engine: name,
    firstLayer,
    lastLayer,
  });
  const token = (position: number, lineage: TokenEvent['lineage']): TokenEvent => ({
    position,
    tokenId: 1,
    text: '',
    lineage,
  });
  const good = [mark('a', 0, 4), mark('b', 5, 9)];

  it('is valid when every layer ran once, in order, at the next position', () => {
    assert.equal(findLineageProblem(token(3, good), 3, stages, 10), null);
  });

  it('reports the kind of problem', () => {
    const cases: readonly [TokenEvent, string][] = [
      [token(4, good), 'position-gap'],
      [token(2, good), 'position-repeat'],
      [token(3, [mark('a', 0, 4)]), 'stage-missing'],
      [token(3, [mark('b', 0, 4), mark('a', 5, 9)]), 'stage-wrong'],
      [token(3, [mark('a', 0, 5), mark('b', 5, 9)]), 'layer-gap'],
      [token(3, [mark('a', 0, 3), mark('b', 5, 9)]), 'layer-gap'],
      [token(3, [mark('a', 0, 4), mark('b', 5, 8)]), 'layer-gap'],
    ];
    cases.forEach(([event, problem]) =>
      assert.equal(findLineageProblem(event, 3, stages, 10), problem),
    );
  });
});
