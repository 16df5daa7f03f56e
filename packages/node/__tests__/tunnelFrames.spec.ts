import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { createFrameDecoder, createFrameEncoder, RESET_FRAME } from '../src/tunnelFrames';
import type { TunnelEnd } from '../src/tunnelFrames';

/** Encodes pieces and the end of the stream. */
async function encode(pieces: readonly Buffer[]): Promise<Buffer> {
  const encoder = createFrameEncoder();
  pieces.forEach((piece) => encoder.write(piece));
  encoder.end();
  const encoded: Buffer[] = [];
  for await (const frame of encoder as AsyncIterable<Buffer>) encoded.push(frame);
  return Buffer.concat(encoded);
}

function createReader() {
  const received: Buffer[] = [];
  const ends: TunnelEnd[] = [];
  const decoder = createFrameDecoder({
    onBytes: (bytes) => received.push(bytes),
    onEnd: (end) => ends.push(end),
  });
  return { decoder, ends, text: () => Buffer.concat(received).toString() };
}

describe('the frames of a tunnel', () => {
  it('yield the bytes and the end, however they are split', async () => {
    const random = createSeededRandom(57);
    for (let run = 0; run < 300; run += 1) {
      const pieces = Array.from({ length: 1 + random.nextInt(5) }, (_, index) =>
        Buffer.alloc(1 + random.nextInt(300), index),
      );
      const encoded = await encode(pieces);
      const { decoder, ends, text } = createReader();
      for (let at = 0, end = 0; at < encoded.length; at = end) {
        assert.deepEqual(ends, []);
        end = at + 1 + random.nextInt(40);
        decoder.push(encoded.subarray(at, end));
      }
      assert.equal(text(), Buffer.concat(pieces).toString());
      assert.deepEqual(ends, ['end']);
    }
  });

  it('have no end while any byte of the last frame is missing', async () => {
    const encoded = await encode([Buffer.from('some bytes')]);
    for (let length = 0; length < encoded.length; length += 1) {
      const { decoder, ends } = createReader();
      decoder.push(encoded.subarray(0, length));
      assert.deepEqual(ends, []);
    }
  });

  it('report a reset, and nothing after it', () => {
    const { decoder, ends, text } = createReader();
    decoder.push(Buffer.concat([RESET_FRAME, RESET_FRAME, Buffer.from('more')]));
    assert.deepEqual([ends, text()], [['reset'], '']);
  });

  it('are rejected if a length is not plausible', () => {
    const { decoder } = createReader();
    assert.throws(() => decoder.push(Buffer.from('HTTP/1.1 200 OK')), RangeError);
  });
});
