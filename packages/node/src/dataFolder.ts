/**
 * Durable file operations: a file is written under a temporary name, synced and renamed, and then
 * its folder is synced.
 */
import { open, mkdir, readFile, rename, rm } from 'node:fs/promises';
import { randomUUID } from 'node:crypto';
import { dirname, join } from 'node:path';
import { SpoolplankError } from '@spoolplank/shared';

interface SystemError {
  readonly code?: string;
}

const DISK_FULL_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG']);

/** Converts a file system error that means a full disk into `storage-full`. */
export function toStorageError(error: unknown, path: string): unknown {
  const code = (error as SystemError | null)?.code;
  if (code !== undefined && DISK_FULL_CODES.has(code)) {
    return new SpoolplankError('storage-full', { detail: `${path}: ${code}`, cause: error });
  }
  return error;
}

/** Syncs a folder, so that created and renamed entries survive a power loss. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file atomically: after a power loss, it has either the old or the new content. */
export async function replaceFile(path: string, data: Buffer | string): Promise<void> {
  const temporaryPath = `${path}.tmp`;
  try {
    const handle = await open(temporaryPath, 'w');
    try {
      await handle.writeFile(data);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporaryPath, path);
    await syncFolder(dirname(path));
  } catch (error) {
    await rm(temporaryPath, { force: true });
    throw toStorageError(error, path);
  }
}

/** Reads a file; null when it does not exist. */
export async function readFileIfExists(path: string): Promise<Buffer | null> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as SystemError).code === 'ENOENT') return null;
    throw error;
  }
}

/**
 * Renames a folder to a unique name within its parent, so that its content is no longer used. A
 * folder that does not exist is not an error.
 */
export async function archiveFolder(folder: string, name: string): Promise<void> {
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
 * Loads the replica id of a data folder, or creates it on first use. The id is lost with the
 * folder: a VM whose data folder was wiped gets a new one.
 */
export async function loadOrCreateReplicaId(folder: string, vmId: string): Promise<string> {
  await mkdir(folder, { recursive: true });
  const path = join(folder, IDENTITY_FILE);
  const stored = await readFileIfExists(path);
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

/** Deletes the replica id of a data folder; the next start creates a new one. */
export async function deleteReplicaId(folder: string): Promise<void> {
  await rm(join(folder, IDENTITY_FILE), { force: true });
  await syncFolder(folder);
}
