import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@spoolplank/shared';
import { createDocumentState } from '../src/documentState';
import { createGroupState } from '../src/groupState';
import type { GroupState } from '../src/groupState';

const MOST = 10;

function createState() {
  const clock = createManualClock(100_000);
  return { clock, state: createGroupState(clock) };
}

const reserve = (state: GroupState, count: number, service = 'app') =>
  state.apply({ kind: 'retries.reserve', service, count, most: MOST });
const countsOf = (state: GroupState, name = 'app') =>
  state.retries
    .list()
    .filter(({ service }) => service === name)
    .map(({ count }) => count);

describe('what the control group replicates', () => {
  it('holds the document and the reservations of retries, each changed by its own commands', () => {
    const { state } = createState();
    state.apply({ kind: 'document.replace', version: 3, data: 'three' });
    reserve(state, 4);
    assert.equal(state.documents.current?.version, 3);
    assert.deepEqual(countsOf(state), [4]);
    state.apply({ kind: 'document.replace', version: 4, data: 'four' });
    assert.deepEqual(countsOf(state), [4]);
  });

  it('drops the oldest reservations of a service once later ones cover all that can be lent', () => {
    const { state } = createState();
    [4, 4, 4].forEach((count) => reserve(state, count));
    reserve(state, 9, 'engines');
    assert.deepEqual(countsOf(state), [4, 4, 4]);
    reserve(state, 2);
    assert.deepEqual(countsOf(state), [4, 4, 2]);
    assert.deepEqual(countsOf(state, 'engines'), [9]);
  });

  it('drops the reservations of a service that are released', () => {
    const { state } = createState();
    reserve(state, 4);
    reserve(state, 3, 'engines');
    state.apply({ kind: 'retries.release', service: 'app' });
    assert.deepEqual(countsOf(state), []);
    assert.deepEqual(countsOf(state, 'engines'), [3]);
  });

  it('counts the age of a reservation from its application, or from a restored snapshot', () => {
    const { clock, state } = createState();
    reserve(state, 4);
    clock.advance(300);
    assert.deepEqual(state.retries.list(), [{ service: 'app', count: 4, knownForMs: 300 }]);
    const copy = createGroupState(clock);
    copy.restore(state.takeSnapshot());
    assert.deepEqual(copy.retries.list(), [{ service: 'app', count: 4, knownForMs: 0 }]);
  });

  it('is restored from a snapshot, from an empty one, and from one of the document alone', () => {
    const { clock, state } = createState();
    state.restore('');
    assert.equal(state.documents.current, null);
    state.restore(state.takeSnapshot());
    assert.equal(state.documents.current, null);
    const documents = createDocumentState();
    state.restore(documents.takeSnapshot());
    assert.equal(state.documents.current, null);
    documents.apply({ kind: 'document.replace', version: 3, data: 'three' });
    state.restore(documents.takeSnapshot());
    reserve(state, 4);
    const copy = createGroupState(clock);
    copy.restore(state.takeSnapshot());
    assert.deepEqual(copy.documents.current, { version: 3, data: 'three' });
    assert.deepEqual(countsOf(copy), [4]);
  });
});
