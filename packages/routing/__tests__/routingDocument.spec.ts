import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { collectDocumentFindings } from '../src/routingDocument';
import type { Route, RoutingDocument } from '../src/routingDocument';
import { createRouteTable, drawTarget } from '../src/routeTable';

function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'r1',
    host: 'a.example',
    pathPrefix: '/quotes/',
    kind: 'safe',
    isResumable: false,
    timeoutMs: 1000,
    targetLatencyMs: 300,
    targetGapMs: 200,
    priority: 1,
    targets: [{ service: 'drafts', weight: 1 }],
    maxAttempts: 2,
    isAnonymousAllowed: false,
    ...overrides,
  };
}

function createDocument(overrides: Partial<RoutingDocument> = {}): RoutingDocument {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'drafts', maxConnections: 10 }],
    organisations: [{ name: 'acme', keys: ['k1'], priority: 1 }],
    isKeyRequired: true,
    limits: { maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
    ...overrides,
  };
}

describe('a routing document', () => {
  it('is valid when everything it refers to exists', () => {
    assert.deepEqual(collectDocumentFindings(createDocument()), []);
  });

  const unfit: Readonly<Record<string, Partial<RoutingDocument>>> = {
    'a route to an unknown service': {
      routes: [createRoute({ targets: [{ service: 'lost', weight: 1 }] })],
    },
    'two routes with the same host and path': {
      routes: [createRoute(), createRoute({ name: 'r2' })],
    },
    'weights that add up to 0': {
      routes: [createRoute({ targets: [{ service: 'drafts', weight: 0 }] })],
    },
    'a time-out of 0': { routes: [createRoute({ timeoutMs: 0 })] },
    'a key of two organisations': {
      organisations: [
        { name: 'acme', keys: ['k1'], priority: 1 },
        { name: 'other', keys: ['k1'], priority: 1 },
      ],
    },
  };
  Object.entries(unfit).forEach(([name, overrides]) => {
    it(`is rejected for ${name}`, () => {
      assert.equal(collectDocumentFindings(createDocument(overrides)).length, 1);
    });
  });
});

describe('a document of 1,500 routes of one host', () => {
  /** Routes that count how often their host and prefix are read. */
  function createCountedRoutes(count: number) {
    let reads = 0;
    const read = (value: string) => {
      reads += 1;
      return value;
    };
    const routes = Array.from({ length: count }, (_, index) =>
      Object.defineProperties(createRoute({ name: `r${index}` }), {
        host: { get: () => read('a.example') },
        pathPrefix: { get: () => read(`/p${index}/`) },
      }),
    );
    return { routes, reads: () => reads };
  }

  it('is checked with a constant number of reads for each route', () => {
    const { routes, reads } = createCountedRoutes(1500);
    assert.deepEqual(collectDocumentFindings(createDocument({ routes })), []);
    assert.ok(reads() <= 3 * 1500, `${reads()} reads`);
  });

  it('is indexed by host without a new list for each route', () => {
    const { routes } = createCountedRoutes(1500);
    const document = createDocument({ routes });
    const stored = mock.method(Map.prototype, 'set');
    createRouteTable(document);
    const lists = stored.mock.callCount();
    stored.mock.restore();
    assert.ok(lists <= 10, `${lists} lists`);
  });
});

describe('a route table', () => {
  const routes = [
    createRoute(),
    createRoute({ name: 'longer', pathPrefix: '/quotes/old/' }),
    createRoute({ name: 'elsewhere', host: 'b.example' }),
  ];
  const table = createRouteTable(createDocument({ routes }));

  it('finds the route with the longest prefix of the host', () => {
    assert.equal(table.findRoute('a.example', '/quotes/old/1')?.name, 'longer');
    assert.equal(table.findRoute('a.example', '/quotes/new')?.name, 'r1');
    assert.equal(table.findRoute('b.example', '/quotes/old/1')?.name, 'elsewhere');
    assert.equal(table.findRoute('c.example', '/quotes/1'), undefined);
    assert.equal(table.findRoute('a.example', '/quotesx/'), undefined);
  });

  it('never selects a target of weight 0', () => {
    const random = createSeededRandom(1);
    const targets = [
      { service: 'none', weight: 0 },
      { service: 'some', weight: 3 },
      { service: 'last', weight: 0 },
    ];
    for (let draw = 0; draw < 100; draw += 1) {
      assert.equal(drawTarget(targets, random).service, 'some');
    }
  });
});
