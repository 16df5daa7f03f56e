import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import fc from 'fast-check';
import { formatInstanceId, parseInstanceId } from '../src/backendIdentity';
import { createFactTable } from '../src/factTable';
import type { FactTable } from '../src/factTable';
import {
  FACT_KEYS,
  findBackend,
  FINAL_SEQUENCE,
  hasRestarted,
  isRestart,
} from '../src/systemFacts';
import type { BackendFact, SystemFact } from '../src/systemFacts';

const SERVER = 'i-7f3a';

interface Statement {
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: BackendFact['state'];
}

function createTable(name: string): FactTable<SystemFact> {
  return createFactTable<SystemFact>({
    clock: createManualClock(),
    instance: name,
    isUrgent: () => true,
  });
}

/** The announcement of an incarnation; its first layer is the number of the incarnation. */
function createBackendFact({ incarnation, state }: Omit<Statement, 'sequence'>): BackendFact {
  return {
    kind: 'backend',
    instanceId: formatInstanceId({ serverId: SERVER, incarnation }),
    service: 'engines',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    state,
    slots: 10,
    engine: {
      acceleratorKind: 'big',
      held: { firstLayer: incarnation, endLayer: incarnation + 1 },
      version: 1,
    },
  };
}

function announce(table: FactTable<SystemFact>, { incarnation, sequence, state }: Statement) {
  const fact = createBackendFact({ incarnation, state });
  return table.put(FACT_KEYS.backend(fact.instanceId), { incarnation, sequence }, fact);
}

function knownIncarnation(table: FactTable<SystemFact>): BackendFact {
  const body = table.find(FACT_KEYS.backend(SERVER))?.body;
  assert.ok(body?.kind === 'backend');
  return body;
}

describe('the identity of a backend server', () => {
  it('is parsed from its instance id', () => {
    fc.assert(
      fc.property(
        fc.stringMatching(/^[\w.-]{1,20}$/),
        fc.integer({ min: 0, max: 2 ** 45 }),
        (serverId, incarnation) => {
          const identity = { serverId, incarnation };
          assert.deepEqual(parseInstanceId(formatInstanceId(identity)), identity);
        },
      ),
    );
  });

  it('is its name alone when it does not report its start time', () => {
    assert.equal(formatInstanceId({ serverId: SERVER, incarnation: 0 }), SERVER);
  });
});

describe('a backend server that restarts under its name', () => {
  it('replaces its earlier incarnation immediately, though its sequence starts again at 1', () => {
    const table = createTable('a');
    announce(table, { incarnation: 1, sequence: 900, state: 'ready' });
    assert.equal(announce(table, { incarnation: 2, sequence: 1, state: 'ready' }), true);
    assert.equal(knownIncarnation(table).instanceId, `${SERVER}/2`);
  });

  it('is accepted though its earlier incarnation was withdrawn', () => {
    const table = createTable('a');
    announce(table, { incarnation: 1, sequence: FINAL_SEQUENCE, state: 'gone' });
    assert.equal(announce(table, { incarnation: 2, sequence: 1, state: 'ready' }), true);
    assert.equal(knownIncarnation(table).state, 'ready');
  });

  it('is not affected by delayed updates and the delayed withdrawal of its earlier incarnation', () => {
    const table = createTable('a');
    announce(table, { incarnation: 2, sequence: 1, state: 'ready' });
    const { revision } = table;
    assert.equal(announce(table, { incarnation: 1, sequence: 901, state: 'ready' }), false);
    assert.equal(
      announce(table, { incarnation: 1, sequence: FINAL_SEQUENCE, state: 'gone' }),
      false,
    );
    assert.equal(knownIncarnation(table).instanceId, `${SERVER}/2`);
    assert.equal(table.revision, revision);
  });

  it('is no longer found under its earlier incarnation, which counts as ended', () => {
    const table = createTable('a');
    announce(table, { incarnation: 1, sequence: 5, state: 'ready' });
    assert.equal(findBackend(table, `${SERVER}/1`)?.body.instanceId, `${SERVER}/1`);
    assert.equal(hasRestarted(table, `${SERVER}/1`), false);
    announce(table, { incarnation: 2, sequence: 1, state: 'ready' });
    assert.equal(findBackend(table, `${SERVER}/1`), undefined);
    assert.equal(hasRestarted(table, `${SERVER}/1`), true);
    assert.equal(hasRestarted(table, `${SERVER}/2`), false);
  });

  it('is distinguished from a backend server that only changed its state', () => {
    const first = createBackendFact({ incarnation: 1, state: 'ready' });
    assert.equal(isRestart(createBackendFact({ incarnation: 1, state: 'draining' }), first), false);
    assert.equal(isRestart(createBackendFact({ incarnation: 2, state: 'ready' }), first), true);
    assert.equal(isRestart(first, undefined), false);
  });

  it('does not inherit the body of its earlier incarnation from an update without a body', () => {
    const table = createTable('a');
    announce(table, { incarnation: 1, sequence: 5, state: 'ready' });
    const key = FACT_KEYS.backend(SERVER);
    table.merge([{ key, incarnation: 2, sequence: 1, ageMs: 0 }], 0);
    assert.equal(table.find(key)?.incarnation, 1);
  });

  it('converges to the same row on all control VMs, in whatever order updates arrive', () => {
    const statement = fc.record({
      incarnation: fc.integer({ min: 1, max: 3 }),
      sequence: fc.oneof(fc.integer({ min: 1, max: 6 }), fc.constant(FINAL_SEQUENCE)),
      state: fc.constant<BackendFact['state']>('ready'),
    });
    /** An announcement received by a VM, or an exchange from one VM to another. */
    const step = fc.oneof(
      fc.record({ at: fc.nat(2), statement }),
      fc.record({ from: fc.nat(2), to: fc.nat(2), isWhole: fc.boolean() }),
    );
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 40 }), (steps) => {
        const tables = ['a', 'b', 'c'].map(createTable);
        const tableAt = (index: number) => tables[index] ?? createTable('none');
        const seen = new Map<string, number>();
        let newest = 0;
        const exchange = (from: number, to: number, isWhole: boolean) => {
          const [source, target] = [tableAt(from), tableAt(to)];
          const link = `${from}-${to}`;
          const since = isWhole ? 0 : (seen.get(link) ?? 0);
          target.merge(source.deltaSince(source.instance, since).updates, 0);
          seen.set(link, source.revision);
        };
        steps.forEach((taken) => {
          if ('statement' in taken) {
            announce(tableAt(taken.at), taken.statement);
            newest = Math.max(newest, taken.statement.incarnation);
          } else if (taken.from !== taken.to) exchange(taken.from, taken.to, taken.isWhole);
          tables.forEach((table) => {
            const row = table.find(FACT_KEYS.backend(SERVER));
            // A row never has the layers of another incarnation.
            if (row?.body.kind === 'backend') {
              assert.equal(row.body.engine?.held?.firstLayer, row.incarnation);
            }
          });
        });
        [0, 1, 2, 0, 1].forEach((from) =>
          [0, 1, 2].forEach((to) => from !== to && exchange(from, to, false)),
        );
        if (newest > 0) {
          tables.forEach((table) => {
            assert.equal(knownIncarnation(table).engine?.held?.firstLayer, newest);
          });
        }
      }),
      { numRuns: 500 },
    );
  });
});
