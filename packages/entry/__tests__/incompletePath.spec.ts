/**
 * Guards against streams that are sent over a path without layers: an allocator that had no
 * configuration yet treated the service as a plain one and granted a slot on a single engine.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import type { BackendOperations } from '../src/dispatch/backendOperations';
import type { ChosenChain } from '../src/dispatch/chainChoice';
import { createSlotChains } from '../src/slots/slotChains';
import { createStreamDispatch } from '../src/dispatch/streamDispatch';
import { createStreamTable } from '../src/dispatch/streamTable';
import {
  MODEL,
  createAdmitted,
  createChain,
  createContext,
  createRoute,
  createTables,
} from './fixtures';
import { createAsk } from './slotFixtures';

const ENGINE = { instanceId: 'e1', address: 'e1:80' };

/** The chains known to a VM that has received an engine but no configuration. */
function createUnconfigured() {
  return createSlotChains({
    clock: createManualClock(),
    dataCentre: 'a',
    chains: { listOf: () => [] },
    modelOf: () => undefined,
    listServers: () => [ENGINE],
    limits: { limitPerSOf: () => null, ratePerS: () => Infinity, hasPermit: () => true },
    inFlightOn: () => 0,
    firstEventMs: () => 0,
  });
}

describe('a VM without a configuration', () => {
  it('grants a stream no engine as if that were a plain server', () => {
    const chains = createUnconfigured();
    assert.equal(chains.findBest(createAsk()), undefined);
    assert.equal(chains.hasUsable(createAsk()), false);
  });

  it('grants a plain request one of the servers that it asks for', () => {
    const ask = createAsk({ service: 'app', heads: [ENGINE.instanceId] });
    assert.equal(createUnconfigured().findBest(ask)?.headId, ENGINE.instanceId);
  });
});

describe('a path that does not cover every layer once and in order', () => {
  const paths: Readonly<Record<string, ChosenChain['stages']>> = {
    'without layers': [{ id: 'e1', address: 'e1:80', firstLayer: 0, endLayer: 0 }],
    'that ends early': [{ id: 'e1', address: 'e1:80', firstLayer: 0, endLayer: 7 }],
    'with a gap': [
      { id: 'e1', address: 'e1:80', firstLayer: 0, endLayer: 3 },
      { id: 'e2', address: 'e2:80', firstLayer: 4, endLayer: 8 },
    ],
  };

  Object.entries(paths).forEach(([name, stages]) => {
    it(`is sent no stream, whichever VM granted it: one ${name}`, async () => {
      const clock = createManualClock();
      let sends = 0;
      const operations = {
        open() {
          sends += 1;
          return Promise.reject(new Error('nothing listens'));
        },
      } as unknown as BackendOperations;
      const findSlot = () => Promise.resolve({ ...createChain('e1'), stages });
      const dispatch = createStreamDispatch({
        context: createContext(clock, createTables().view, operations),
        streams: createStreamTable({ clock }),
        slots: { findForNew: findSlot, findForResumed: findSlot, retryAfterMs: () => 100 },
        probeAfterFailure: () => {},
        avoid: () => {},
      });
      const admitted = createAdmitted(clock, createRoute('stream'));
      await assert.rejects(dispatch.run(admitted, MODEL), { outcome: 'not-run' });
      assert.equal(sends, 0);
    });
  });
});
