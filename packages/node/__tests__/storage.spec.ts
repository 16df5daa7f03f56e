import assert from 'node:assert/strict';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
  appendFileSync,
} from 'node:fs';
import { open } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import type { LogEntry, SnapshotMeta } from '@spoolplank/consensus';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import { createFileStorage, decodeRecords, encodeRecord, loadOrCreateReplicaId } from '..';

const folders: string[] = [];

function createFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'spoolplank-storage-'));
  folders.push(folder);
  return folder;
}

function createEntries(from: number, to: number, term = 1): LogEntry[] {
  return Array.from({ length: to - from + 1 }, (_unused, offset) => ({
    index: from + offset,
    term,
    payload: { kind: 'command', command: `value ${from + offset}` },
  }));
}

const META: SnapshotMeta = { index: 4, term: 1, configuration: { voters: ['a'], learners: [] } };

after(() => folders.forEach((folder) => rmSync(folder, { recursive: true, force: true })));

describe('record file', () => {
  const completeFile = Buffer.concat(
    ['one', 'two', 'three'].map((text) => encodeRecord(JSON.stringify(text))),
  );

  it('ignores an incomplete last record, wherever it was cut', () => {
    const endOfSecondRecord = encodeRecord('"one"').length + encodeRecord('"two"').length;
    for (let length = endOfSecondRecord; length < completeFile.length; length += 1) {
      assert.deepEqual(decodeRecords(completeFile.subarray(0, length), 'f'), {
        payloads: ['"one"', '"two"'],
        validBytes: endOfSecondRecord,
      });
    }
  });

  it('ignores zeros at the end, in space that was allocated but never written', () => {
    const padded = Buffer.concat([completeFile, Buffer.alloc(100)]);
    assert.equal(decodeRecords(padded, 'f').validBytes, completeFile.length);
  });

  it('reports a flipped bit anywhere, with its offset', () => {
    const random = createSeededRandom(3);
    for (let byte = 0; byte < completeFile.length; byte += 1) {
      const damaged = Buffer.from(completeFile);
      damaged.writeUInt8(damaged.readUInt8(byte) ^ (1 << random.nextInt(8)), byte);
      assert.throws(
        () => decodeRecords(damaged, 'f'),
        { code: 'storage-damaged', message: /f at byte \d+/ },
        `byte ${byte}`,
      );
    }
  });
});

describe('file storage', () => {
  it('returns after a restart what was saved', async () => {
    const folder = createFolder();
    const first = createFileStorage({ folder });
    await first.load();
    await first.save({ hardState: { term: 3, votedFor: 'a' }, entries: createEntries(1, 5) });
    await first.save({ hardState: null, entries: createEntries(4, 4, 2) });
    const loaded = await createFileStorage({ folder }).load();
    assert.deepEqual(loaded.hardState, { term: 3, votedFor: 'a' });
    assert.deepEqual(loaded.entries, [...createEntries(1, 3), ...createEntries(4, 4, 2)]);
  });

  it('keeps the snapshot and the entries after it', async () => {
    const folder = createFolder();
    const first = createFileStorage({ folder });
    await first.load();
    await first.save({ hardState: null, entries: createEntries(1, 6) });
    await first.saveSnapshot(META, '{"some":"state"}', { index: 2, term: 1 });
    await first.save({ hardState: null, entries: createEntries(7, 7) });
    const second = createFileStorage({ folder });
    const loaded = await second.load();
    assert.deepEqual(loaded.snapshot, META);
    assert.deepEqual(loaded.base, { index: 2, term: 1 });
    assert.deepEqual(loaded.entries, createEntries(3, 7));
    assert.equal(await second.readSnapshot(), '{"some":"state"}');
  });

  it('recovers from a torn log without the entry that was not saved completely', async () => {
    const folder = createFolder();
    const first = createFileStorage({ folder });
    await first.load();
    await first.save({ hardState: null, entries: createEntries(1, 3) });
    const path = join(folder, 'log');
    truncateSync(path, readFileSync(path).length - 5);
    const second = createFileStorage({ folder });
    assert.deepEqual((await second.load()).entries, createEntries(1, 2));
    await second.save({ hardState: null, entries: createEntries(3, 3) });
    assert.deepEqual((await createFileStorage({ folder }).load()).entries, createEntries(1, 3));
  });

  it('refuses to start when a record before the end is damaged, and reports its offset', async () => {
    const folder = createFolder();
    const first = createFileStorage({ folder });
    await first.load();
    await first.save({ hardState: null, entries: createEntries(1, 3) });
    const path = join(folder, 'log');
    const bytes = readFileSync(path);
    bytes.writeUInt8(bytes.readUInt8(40) ^ 4, 40);
    writeFileSync(path, bytes);
    await assert.rejects(createFileStorage({ folder }).load(), {
      code: 'storage-damaged',
      message: /log at byte 0/,
    });
  });

  it('refuses to start without the snapshot that its log is based on', async () => {
    const folder = createFolder();
    const first = createFileStorage({ folder });
    await first.load();
    await first.save({ hardState: null, entries: createEntries(1, 6) });
    await first.saveSnapshot(META, '{}', { index: 4, term: 1 });
    rmSync(join(folder, 'snapshot'));
    await assert.rejects(createFileStorage({ folder }).load(), {
      code: 'storage-damaged',
      message: /snapshot is missing/,
    });
  });

  it('removes a partial write to a full disk, and continues when there is space', async () => {
    const folder = createFolder();
    let isFull = false;
    const openLog = async (path: string): Promise<FileHandle> => {
      const handle = await open(path, 'a');
      const write = handle.writeFile.bind(handle);
      handle.writeFile = async (data) => {
        if (!isFull) return write(data);
        appendFileSync(path, 'half a rec');
        throw Object.assign(new Error('no space left'), { code: 'ENOSPC' });
      };
      return handle;
    };
    const storage = createFileStorage({ folder, openLog });
    await storage.load();
    await storage.save({ hardState: null, entries: createEntries(1, 1) });
    isFull = true;
    await assert.rejects(
      storage.save({ hardState: null, entries: createEntries(2, 2) }),
      (error) => error instanceof SpoolplankError && error.code === 'storage-full',
    );
    isFull = false;
    await storage.save({ hardState: null, entries: createEntries(2, 2) });
    assert.deepEqual((await createFileStorage({ folder }).load()).entries, createEntries(1, 2));
  });
});

describe('identity of a data folder', () => {
  it('is kept with the folder, and differs after the folder was lost', async () => {
    const folder = createFolder();
    const first = await loadOrCreateReplicaId(folder, 'vm1');
    assert.equal(await loadOrCreateReplicaId(folder, 'vm1'), first);
    rmSync(folder, { recursive: true });
    assert.notEqual(await loadOrCreateReplicaId(folder, 'vm1'), first);
  });

  it('is refused when the folder belongs to another VM', async () => {
    const folder = createFolder();
    await loadOrCreateReplicaId(folder, 'vm1');
    await assert.rejects(loadOrCreateReplicaId(folder, 'vm2'), { code: 'storage-damaged' });
  });
});
