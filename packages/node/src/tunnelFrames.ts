/**
 * Frames of a tunnel, in the direction from the server to the VM that opened the tunnel. The end of
 * a TCP connection does not tell who ended it: the kernel closes the connections of a process that
 * dies in the same way as a server closes its own. Each piece is therefore sent with its length,
 * and the end or the reset of the server's connection is sent as a frame of its own.
 *
 * A frame is a length of four bytes in network order and that many bytes. Two lengths are reserved:
 * 0 for the end and 2^32 - 1 for a reset.
 */
import { Transform } from 'node:stream';

export type TunnelEnd = 'end' | 'reset';

const HEADER_BYTES = 4;
const END_LENGTH = 0;
const RESET_LENGTH = 0xff_ff_ff_ff;
/** Pieces are reads of a socket, which are smaller; a larger length is no frame. */
const MAX_PIECE_BYTES = 16_777_216;

function encodeLength(length: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(length);
  return header;
}

export const RESET_FRAME = encodeLength(RESET_LENGTH);
const END_FRAME = encodeLength(END_LENGTH);

/** Encodes each piece as a frame, and the end of the stream as the end frame. */
export function createFrameEncoder(): Transform {
  return new Transform({
    transform(piece: Buffer, _encoding, done) {
      done(null, Buffer.concat([encodeLength(piece.length), piece]));
    },
    flush(done) {
      done(null, END_FRAME);
    },
  });
}

export interface FrameDecoderOptions {
  /** Called with the bytes of frames, as they arrive. */
  readonly onBytes: (bytes: Buffer) => void;
  /** Called once, after the last bytes. */
  readonly onEnd: (end: TunnelEnd) => void;
}

export interface FrameDecoder {
  /** @throws RangeError for bytes that are no frame. */
  push(bytes: Buffer): void;
}

export function createFrameDecoder({ onBytes, onEnd }: FrameDecoderOptions): FrameDecoder {
  let header: Buffer = Buffer.alloc(0);
  /** Bytes of the current frame that have not arrived. */
  let missing = 0;
  let isOver = false;

  function end(how: TunnelEnd): void {
    isOver = true;
    onEnd(how);
  }

  function beginFrame(length: number): void {
    if (length === END_LENGTH) end('end');
    else if (length === RESET_LENGTH) end('reset');
    else if (length > MAX_PIECE_BYTES) throw new RangeError(`a frame of ${length} bytes`);
    else missing = length;
  }

  /** Returns the bytes after the header. */
  function readHeader(bytes: Buffer): Buffer {
    const used = HEADER_BYTES - header.length;
    header = Buffer.concat([header, bytes.subarray(0, used)]);
    if (header.length === HEADER_BYTES) {
      const length = header.readUInt32BE();
      header = Buffer.alloc(0);
      beginFrame(length);
    }
    return bytes.subarray(used);
  }

  /** Returns the bytes after those of the frame. */
  function readPiece(bytes: Buffer): Buffer {
    const piece = bytes.subarray(0, missing);
    missing -= piece.length;
    onBytes(piece);
    return bytes.subarray(piece.length);
  }

  return {
    push(bytes) {
      let rest = bytes;
      while (rest.length > 0 && !isOver) rest = missing > 0 ? readPiece(rest) : readHeader(rest);
    },
  };
}
