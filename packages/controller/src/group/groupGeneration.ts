/**
 * Counts how often a group was recovered from a single copy. A replica accepts only messages of its
 * own generation, so that voters that return late cannot form a second majority beside the
 * recovered group.
 */
import { join } from 'node:path';
import {
  deleteReplicaId,
  parseJsonBody,
  readFileIfExists,
  replaceFile,
  archiveFolder,
} from '@spoolplank/node';

export interface GroupGeneration {
  /** 0 for a group that was never recovered. */
  readonly current: number;
  /** Group name in the messages between replicas of this generation. */
  readonly groupName: string;
  /** Stores a new generation. */
  advance(generation: number): Promise<void>;
  /**
   * Moves the replica's log aside because the group was recovered without it. The VM restarts with
   * an empty folder and a new identity.
   */
  supersede(generation: number): Promise<void>;
}

export interface GroupGenerationOptions {
  readonly dataFolder: string;
  readonly group: string;
}

interface StoredGeneration {
  readonly generation: number;
}

/** Loads the generation from the data folder. */
export async function loadGroupGeneration({
  dataFolder,
  group,
}: GroupGenerationOptions): Promise<GroupGeneration> {
  const path = join(dataFolder, `${group}-generation.json`);
  const stored = await readFileIfExists(path);
  const held = stored ? (parseJsonBody(stored) as unknown as StoredGeneration) : null;
  let current = held?.generation ?? 0;

  async function advance(generation: number): Promise<void> {
    if (generation === current) return;
    await replaceFile(path, `${JSON.stringify({ generation })}\n`);
    current = generation;
  }

  return {
    get current() {
      return current;
    },
    get groupName() {
      return current === 0 ? group : `${group}@${current}`;
    },
    advance,
    async supersede(generation) {
      await archiveFolder(join(dataFolder, group), `${group}.generation-${current}`);
      await deleteReplicaId(dataFolder);
      await advance(generation);
    },
  };
}
