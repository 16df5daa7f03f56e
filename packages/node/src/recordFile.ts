/**
 * Encodes and decodes files of records, each with its length and checksums:
 *
 *     magic u32 | length u32 | CRC-32 of payload u32 | CRC-32 of the 12 bytes before u32 | payload
 *
 * Payloads are JSON and contain no zero byte. A write interrupted by a power loss therefore leaves
 * a torn record, which extends beyond the end of the file or ends in zeros and is discarded.
 * Any other mismatch is corruption, which is reported with its offset rather than repaired.
 */
import { crc32 } from 'node:zlib';
import { SpoolplankError } from '@spoolplank/shared';

const MAGIC = 0x53_50_4c_31;
const HEADER_BYTES = 16;
const HEADER_CRC_OFFSET = 12;
/** This many zero bytes at the end of a file mark space that was allocated but never written. */
const TORN_ZERO_BYTES = 8;

export function encodeRecord(payload: string): Buffer {
  const body = Buffer.from(payload, 'utf8');
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(MAGIC, 0);
  header.writeUInt32LE(body.length, 4);
  header.writeUInt32LE(crc32(body), 8);
  header.writeUInt32LE(crc32(header.subarray(0, HEADER_CRC_OFFSET)), HEADER_CRC_OFFSET);
  return Buffer.concat([header, body]);
}

export interface DecodedRecords {
  readonly payloads: readonly string[];
  /** Length of the file up to the end of the last complete record; a torn record may follow. */
  readonly validBytes: number;
}

type RecordCheck =
  | { readonly kind: 'whole'; readonly payload: string; readonly endOffset: number }
  | { readonly kind: 'torn' }
  | { readonly kind: 'damaged'; readonly problem: string };

function isHeaderValid(bytes: Buffer, offset: number): boolean {
  if (offset + HEADER_BYTES > bytes.length) return false;
  const expected = bytes.readUInt32LE(offset + HEADER_CRC_OFFSET);
  return (
    bytes.readUInt32LE(offset) === MAGIC &&
    crc32(bytes.subarray(offset, offset + HEADER_CRC_OFFSET)) === expected
  );
}

function endsInZeros(bytes: Buffer): boolean {
  const tail = bytes.subarray(Math.max(0, bytes.length - TORN_ZERO_BYTES));
  return tail.length > 0 && tail.every((byte) => byte === 0);
}

function checkRecord(bytes: Buffer, offset: number): RecordCheck {
  if (offset + HEADER_BYTES > bytes.length) return { kind: 'torn' };
  if (!isHeaderValid(bytes, offset)) {
    return endsInZeros(bytes.subarray(offset))
      ? { kind: 'torn' }
      : { kind: 'damaged', problem: 'bad record header' };
  }
  const bodyOffset = offset + HEADER_BYTES;
  const endOffset = bodyOffset + bytes.readUInt32LE(offset + 4);
  if (endOffset > bytes.length) return { kind: 'torn' };
  const body = bytes.subarray(bodyOffset, endOffset);
  if (crc32(body) === bytes.readUInt32LE(offset + 8)) {
    return { kind: 'whole', payload: body.toString('utf8'), endOffset };
  }
  const isTorn = endOffset === bytes.length && endsInZeros(body);
  return isTorn ? { kind: 'torn' } : { kind: 'damaged', problem: 'checksum mismatch' };
}

/**
 * Decodes a file of records.
 *
 * @throws SpoolplankError `storage-damaged` with the file name and the offset of the corruption.
 */
export function decodeRecords(bytes: Buffer, source: string): DecodedRecords {
  const payloads: string[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const check = checkRecord(bytes, offset);
    if (check.kind === 'torn') break;
    if (check.kind === 'damaged') {
      throw new SpoolplankError('storage-damaged', {
        detail: `${source} at byte ${offset}: ${check.problem}`,
      });
    }
    payloads.push(check.payload);
    offset = check.endOffset;
  }
  return { payloads, validBytes: offset };
}
