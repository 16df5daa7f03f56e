/** Finds chains for a session, avoiding engines that recently failed it. */
import type { Announcement } from '@spoolplank/membership';
import { selectChain } from '@spoolplank/routing';
import type { Chain } from '@spoolplank/routing';
import { listBackendServers } from './backendServers';
import type { EntryContext } from './entryContext';
import type { SessionRecord } from './sessionStore';
import { findSilentStages } from './stageProbe';
import type { AttemptFailure } from './tokenRelay';

/** Excludes an engine that failed this session from its chains for a while. */
interface Exclusion {
  /** The incarnation of the engine that failed; a restarted engine is not excluded. */
  readonly incarnation: number;
  /** Whether the engine did not answer a probe; otherwise it was only part of a failed chain. */
  readonly isSilent: boolean;
  /**
   * When the exclusion expires. A session may last for hours, and an engine that was merely too
   * busy to answer must not be excluded for the rest of it.
   */
  readonly expiresAtMs: number;
}

export interface ChainFinder {
  /** The best available chain without some engines; undefined when layers are missing. */
  find(withoutPermit?: ReadonlySet<string>): Chain | undefined;
  /**
   * Whether the estimated time per token of the best chain of other engines is well below the
   * present interval between tokens.
   */
  hasFasterAlternative(chain: Chain, gapMs: number): boolean;
  /** Excludes the engines that a failed attempt points to, and returns their names. */
  excludeFailed(failure: AttemptFailure, chain: Chain): Promise<readonly string[]>;
}

/** How long an engine that failed a session is excluded from its chains. */
const EXCLUSION_DURATION_MS = 2000;
/**
 * Maximum ratio of the other chain's estimated time per token to the present interval. A move
 * costs another prefill, so it has to pay off.
 */
const FASTER_STEP_RATIO = 0.5;
const NO_ENGINES: ReadonlySet<string> = new Set();

/** Creates the chain finder of one session. */
export function createChainFinder(
  context: EntryContext,
  record: SessionRecord,
  layers: number,
): ChainFinder {
  const { clock, loads, settings, directorySync } = context;
  const exclusions = new Map<string, Exclusion>();

  function isExcluded({ name, incarnation }: Announcement, isStrict: boolean): boolean {
    const exclusion = exclusions.get(name);
    if (exclusion?.incarnation !== incarnation || exclusion.expiresAtMs <= clock.nowMs())
      return false;
    return isStrict || exclusion.isSilent;
  }

  function findExcluding(
    announced: readonly Announcement[],
    excluded: ReadonlySet<string>,
  ): Chain | undefined {
    const request = {
      model: record.request.model,
      layers,
      version: record.version,
      excluded,
      dataCentre: settings.vm.dataCentre,
      nowMs: clock.nowMs(),
    };
    return selectChain(announced, request, loads);
  }

  function findAvoidingFailed(
    announced: readonly Announcement[],
    isStrict: boolean,
  ): Chain | undefined {
    const excludedEngines = announced.filter((announcement) => isExcluded(announcement, isStrict));
    return findExcluding(announced, new Set(excludedEngines.map(({ name }) => name)));
  }

  return {
    find(withoutPermit = NO_ENGINES) {
      const announced = listBackendServers(context).filter(({ name }) => !withoutPermit.has(name));
      // A chain with engines that are merely suspected is better than none.
      return findAvoidingFailed(announced, true) ?? findAvoidingFailed(announced, false);
    },
    hasFasterAlternative(chain, gapMs) {
      const usedNames = new Set(chain.stages.map(({ name }) => name));
      const other = findExcluding(listBackendServers(context), usedNames);
      return other !== undefined && other.estimatedStepMs < gapMs * FASTER_STEP_RATIO;
    },
    async excludeFailed(failure, chain) {
      const silent = await findSilentStages(chain.stages);
      const silentNames = silent.map(({ name }) => name);
      const suspectedNames = [...new Set([...failure.blamed, ...silentNames])];
      // When every stage answers, the fault may lie in the links between them, so all stages are
      // excluded.
      const names =
        suspectedNames.length > 0 ? suspectedNames : chain.stages.map(({ name }) => name);
      const expiresAtMs = clock.nowMs() + EXCLUSION_DURATION_MS;
      names.forEach((name) => {
        const incarnation =
          directorySync.directory.findAvailable(name)?.announcement.incarnation ?? 0;
        exclusions.set(name, { incarnation, isSilent: silentNames.includes(name), expiresAtMs });
      });
      return names;
    },
  };
}
