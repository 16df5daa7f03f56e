/**
 * How often a group went on from one copy. A replica takes messages of its own generation only, so
 * that voters which come back late cannot form a majority beside the group that went on.
 */
import { join } from 'node:path';
import {
  forgetIdentity,
  parseJsonBody,
  readFileIfAny,
  replaceFile,
  setAsideFolder,
} from '@spoolplank/node';

export interface GroupGeneration {
  /** 0 for a group that was never recovered. */
  readonly current: number;
  /** Name under which replicas of this generation send to each other. */
  readonly groupName: string;
  /** Stores another generation. */
  advance(generation: number): Promise<void>;
  /**
   * Puts the replica's log aside, for a group that went on without it. The VM starts again with a
   * blank folder, and under another identity.
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

/** Loads what the data folder holds. */
export async function loadGroupGeneration({
  dataFolder,
  group,
}: GroupGenerationOptions): Promise<GroupGeneration> {
  const path = join(dataFolder, `${group}-generation.json`);
  const stored = await readFileIfAny(path);
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
      await setAsideFolder(join(dataFolder, group), `${group}.generation-${current}`);
      await forgetIdentity(dataFolder);
      await advance(generation);
    },
  };
}
