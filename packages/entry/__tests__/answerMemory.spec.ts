import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAnswerMemory } from '../src/dispatch/answerMemory';
import { createEventSplitter } from '../src/dispatch/eventSplitter';

describe('the memory for answers that have not ended', () => {
  it('gives up the answer that keeps most, and no other', () => {
    const memory = createAnswerMemory({ maxBytes: 100 });
    const givenUp: string[] = [];
    const open = (name: string) => memory.open((error) => givenUp.push(`${name}: ${error.code}`));
    const [endless, sound, late] = [open('endless'), open('sound'), open('late')];
    endless.setBytes(70);
    sound.setBytes(20);
    late.setBytes(20);
    assert.deepEqual(givenUp, ['endless: answer-too-large']);
    assert.equal(memory.bytes, 40);
    endless.setBytes(90);
    assert.equal(memory.bytes, 40);
  });

  it('is free again when answers end or keep less', () => {
    const memory = createAnswerMemory({ maxBytes: 100 });
    const kept = memory.open(() => {});
    kept.setBytes(60);
    kept.setBytes(10);
    assert.equal(memory.bytes, 10);
    kept.release();
    kept.release();
    assert.equal(memory.bytes, 0);
  });
});

describe('an event that does not end', () => {
  it('is copied a few times in all, however many chunks it arrives in', () => {
    const splitter = createEventSplitter();
    const chunk = Buffer.alloc(100, 'x');
    const chunks = 5000;
    let copiedBytes = 0;
    const copyWhole = Buffer.prototype.copy;
    Buffer.prototype.copy = function copy(this: Buffer, ...args: Parameters<Buffer['copy']>) {
      const copied = copyWhole.apply(this, args);
      copiedBytes += copied;
      return copied;
    };
    try {
      for (let index = 0; index < chunks; index += 1) splitter.push(chunk);
    } finally {
      Buffer.prototype.copy = copyWhole;
    }
    assert.equal(splitter.partialBytes, chunks * chunk.length);
    assert.ok(copiedBytes <= 4 * splitter.partialBytes, `${copiedBytes} bytes copied`);
  });
});
