/** Files that last: written aside, synced, renamed, and the folder synced too. */
import { open, mkdir, readFile, rename, rm } from 'node:fs/promises';
import { randomUUID } from 'node:crypto';
import { dirname, join } from 'node:path';
import { SpoolplankError } from '@spoolplank/shared';

interface SystemError {
  readonly code?: string;
}

const FULL_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG']);

/** Turns an error of the file system into one that says what to do about it. */
export function toStorageError(error: unknown, path: string): unknown {
  const code = (error as SystemError | null)?.code;
  if (code !== undefined && FULL_CODES.has(code)) {
    return new SpoolplankError('storage-full', { detail: `${path}: ${code}`, cause: error });
  }
  return error;
}

/** Makes the names in a folder last. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file as a whole: after a loss of power it is either the old or the new one. */
export async function replaceFile(path: string, data: Buffer | string): Promise<void> {
  const aside = `${path}.tmp`;
  try {
    const handle = await open(aside, 'w');
    try {
      await handle.writeFile(data);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(aside, path);
    await syncFolder(dirname(path));
  } catch (error) {
    await rm(aside, { force: true });
    throw toStorageError(error, path);
  }
}

/** Reads a file; null when there is none. */
export async function readFileIfAny(path: string): Promise<Buffer | null> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as SystemError).code === 'ENOENT') return null;
    throw error;
  }
}

/** Renames a folder beside itself, so that nothing in it is used any more; none is no error. */
export async function setAsideFolder(folder: string, name: string): Promise<void> {
  const parent = dirname(folder);
  try {
    await rename(folder, join(parent, `${name}-${randomUUID().slice(0, 8)}`));
  } catch (error) {
    if ((error as SystemError).code !== 'ENOENT') throw error;
  }
  await syncFolder(parent);
}

const IDENTITY_FILE = 'identity.json';

/**
 * The identity of this life of a data folder: made once, and lost with the folder. A folder
 * that comes back blank gets another one.
 */
export async function loadIdentity(folder: string, vmId: string): Promise<string> {
  await mkdir(folder, { recursive: true });
  const path = join(folder, IDENTITY_FILE);
  const stored = await readFileIfAny(path);
  if (stored) {
    const { replicaId, vmId: owner } = JSON.parse(stored.toString('utf8')) as {
      replicaId: string;
      vmId: string;
    };
    if (owner !== vmId) {
      throw new SpoolplankError('storage-damaged', {
        detail: `${path} belongs to VM ${owner}, not to ${vmId}.`,
      });
    }
    return replicaId;
  }
  const replicaId = `${vmId}#${randomUUID().slice(0, 8)}`;
  await replaceFile(path, `${JSON.stringify({ vmId, replicaId })}\n`);
  return replicaId;
}

/** Has the folder begin another life: the next start makes a new identity. */
export async function forgetIdentity(folder: string): Promise<void> {
  await rm(join(folder, IDENTITY_FILE), { force: true });
  await syncFolder(folder);
}
