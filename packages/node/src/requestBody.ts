/** Reads the bodies of requests. */
import type { IncomingMessage } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import type { ClientHold, ClientMemory } from './clientMemory';

/** What a body may take; without an account it is not limited. */
export type BodyCapacity = Pick<ClientHold, 'grow' | 'recordProgress'>;

const UNLIMITED: BodyCapacity = { grow: () => true, recordProgress: () => {} };
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

function createTooLargeError(maxBytes: number): SpoolplankError {
  return new SpoolplankError('body-too-large', { detail: `At most ${maxBytes} bytes are taken.` });
}

/**
 * Collects bytes in blocks, so that a body costs its size in whatever pieces it arrives: a piece of
 * one byte that is kept by itself costs a hundred times as much.
 */
function createBlocks(declaredBytes: number) {
  const blocks: Buffer[] = [];
  let last = Buffer.alloc(0);
  let used = 0;
  let capacity = 0;

  function nextBlockBytes(): number {
    const missing = declaredBytes - capacity;
    const wanted = missing > 0 ? missing : Math.max(MIN_BLOCK_BYTES, capacity);
    return Math.min(MAX_BLOCK_BYTES, wanted);
  }

  return {
    /** Bytes that are kept once a piece was appended. */
    bytesWith({ length }: Buffer): number {
      const missing = length - (last.length - used);
      return missing <= 0 ? capacity : capacity + Math.max(missing, nextBlockBytes());
    },
    append(piece: Buffer): void {
      const fitting = piece.copy(last, used);
      used += fitting;
      if (fitting === piece.length) return;
      last = Buffer.allocUnsafeSlow(Math.max(piece.length - fitting, nextBlockBytes()));
      blocks.push(last);
      capacity += last.length;
      used = piece.copy(last, 0, fitting);
    },
    join(): Buffer {
      const [only] = blocks;
      if (only && blocks.length === 1) return only.subarray(0, used);
      return Buffer.concat([...blocks.slice(0, -1), last.subarray(0, used)]);
    },
  };
}

/**
 * Reads the complete body of a request.
 *
 * @throws SpoolplankError `body-too-large` as soon as the limit is exceeded, `bad-request` when the
 * body is incomplete.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  capacity: BodyCapacity = UNLIMITED,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) throw createTooLargeError(maxBytes);
  const blocks = createBlocks(declaredBytes);
  let bytes = 0;
  return new Promise((resolve, reject) => {
    /** Whether a piece waits, after which the body may have ended already. */
    let isWaiting = false;
    let hasEnded = false;

    function finish(): void {
      if (hasEnded && !isWaiting) resolve(blocks.join());
    }

    function take(piece: Buffer): void {
      bytes += piece.length;
      if (bytes > maxBytes) {
        request.off('data', take).pause();
        reject(createTooLargeError(maxBytes));
        return;
      }
      capacity.recordProgress();
      const onGranted = (): void => {
        isWaiting = false;
        blocks.append(piece);
        request.resume();
        finish();
      };
      isWaiting = !capacity.grow(blocks.bytesWith(piece), onGranted);
      if (isWaiting) request.pause();
      else blocks.append(piece);
    }

    request.on('data', take);
    request.once('end', () => {
      hasEnded = true;
      finish();
    });
    request.once('error', reject);
    request.once('close', () => {
      if (hasEnded) return;
      reject(new SpoolplankError('bad-request', { detail: 'The body ended early.' }));
    });
  });
}

export interface KeptBodyOptions {
  readonly maxBytes: number;
  readonly memory: ClientMemory;
  /** Time in which the body has to arrive whole, if the request has a deadline. */
  readonly timeoutMs?: number | undefined;
}

/** A body that counts in the memory for requests until it is released. */
export interface KeptBody {
  readonly bytes: Buffer;
  release(): void;
}

/**
 * Reads the complete body of a request within the memory for requests.
 *
 * @throws SpoolplankError as `readBody`; `request-timeout` or `memory-full` when it is refused.
 */
export async function readKeptBody(
  request: IncomingMessage,
  { maxBytes, memory, timeoutMs }: KeptBodyOptions,
): Promise<KeptBody> {
  let refuse = (_error: SpoolplankError): void => {};
  const refused = new Promise<never>((_resolve, reject) => {
    refuse = reject;
  });
  const hold = memory.open({ timeoutMs, onRefused: refuse });
  try {
    const bytes = await Promise.race([readBody(request, maxBytes, hold), refused]);
    hold.complete();
    return { bytes, release: hold.release };
  } catch (error) {
    request.pause();
    hold.release();
    throw error;
  }
}
