import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDocumentState } from '../src/documentState';
import type { DocumentState } from '../src/documentState';

function replace(state: DocumentState, version: number, data: string) {
  return state.apply({ kind: 'document.replace', version, data });
}

describe('a document with versions assigned by its senders', () => {
  it('is replaced by a higher version only', () => {
    const state = createDocumentState();
    assert.deepEqual(replace(state, 3, 'three'), { status: 'accepted', versionInForce: 3 });
    assert.deepEqual(replace(state, 2, 'two'), { status: 'held', versionInForce: 3 });
    assert.equal(state.current?.data, 'three');
  });

  it('keeps its content when different content arrives with the same version', () => {
    const state = createDocumentState();
    replace(state, 3, 'three');
    assert.deepEqual(replace(state, 3, 'other'), { status: 'held', versionInForce: 3 });
    assert.equal(state.current?.data, 'three');
  });

  it('is restored from a snapshot, also from an empty one', () => {
    const state = createDocumentState();
    const blank = createDocumentState();
    blank.restore(state.takeSnapshot());
    assert.equal(blank.current, null);
    blank.restore('');
    assert.equal(blank.current, null);
    replace(state, 3, 'three');
    const copy = createDocumentState();
    copy.restore(state.takeSnapshot());
    assert.deepEqual(copy.current, state.current);
  });
});
