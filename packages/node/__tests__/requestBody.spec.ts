import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@spoolplank/shared';
import { readBody } from '..';
import type { BodyCapacity } from '..';

const MAX_BYTES = 300_000;

/** A request whose body a test sends. */
function createRequest(contentLength?: number) {
  const body = new PassThrough({ highWaterMark: MAX_BYTES });
  const headers = contentLength === undefined ? {} : { 'content-length': String(contentLength) };
  return { body, request: Object.assign(body, { headers }) as unknown as IncomingMessage };
}

describe('the body of a request', () => {
  it('is the same in whatever pieces it arrives, up to the limit', async () => {
    const random = createSeededRandom(1);
    for (const length of [0, 1, 1023, 1024, 1025, 65_536, 200_001, MAX_BYTES]) {
      for (const isDeclared of [false, true]) {
        const bytes = Buffer.from(Array.from({ length }, () => random.nextInt(256)));
        const { body, request } = createRequest(isDeclared ? length : undefined);
        const read = readBody(request, MAX_BYTES);
        for (let at = 0; at < length;) {
          const next = at + 1 + random.nextInt(random.nextInt(2) === 0 ? 3 : 40_000);
          body.write(bytes.subarray(at, next));
          at = next;
        }
        body.end();
        assert.ok(bytes.equals(await read), `${length} bytes`);
      }
    }
  });

  it('costs its size and at most one block more in pieces of one byte', async () => {
    const { body, request } = createRequest();
    let kept = 0;
    const capacity: BodyCapacity = {
      grow(bytes) {
        kept = bytes;
        return true;
      },
      recordProgress: () => {},
    };
    const read = readBody(request, MAX_BYTES, capacity);
    for (let index = 0; index < 100_000; index += 1) body.write('x');
    body.end();
    await read;
    assert.ok(kept >= 100_000 && kept <= 100_000 + 65_536, String(kept));
  });

  it('is read no further until there is capacity', async () => {
    const { body, request } = createRequest();
    const granted: (() => void)[] = [];
    const capacity: BodyCapacity = {
      grow(_bytes, onGranted) {
        granted.push(onGranted);
        return false;
      },
      recordProgress: () => {},
    };
    const read = readBody(request, MAX_BYTES, capacity);
    body.write('ab');
    body.write('c'.repeat(5000));
    body.end();
    while (granted.length < 1) await new Promise(setImmediate);
    await new Promise(setImmediate);
    assert.equal(granted.length, 1);
    granted[0]?.();
    while (granted.length < 2) await new Promise(setImmediate);
    granted[1]?.();
    const bytes = await read;
    assert.ok(bytes.equals(Buffer.from(`ab${'c'.repeat(5000)}`)), `${bytes.length} bytes`);
  });

  it('is refused beyond the limit, announced or not', async () => {
    const announced = createRequest(MAX_BYTES + 1);
    await assert.rejects(readBody(announced.request, MAX_BYTES), { code: 'body-too-large' });
    const sent = createRequest();
    const read = readBody(sent.request, MAX_BYTES);
    sent.body.write(Buffer.alloc(MAX_BYTES + 1));
    await assert.rejects(read, { code: 'body-too-large' });
  });

  it('is refused if it ends early', async () => {
    const { body, request } = createRequest();
    const read = readBody(request, MAX_BYTES);
    body.write('a');
    body.destroy();
    await assert.rejects(read, { code: 'bad-request' });
  });
});
