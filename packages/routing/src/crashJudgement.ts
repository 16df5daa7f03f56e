/**
 * Determines which requests crash the backend servers that run them, by what the crashed runs have
 * in common: the content of the whole request, or parts of their prompts.
 *
 * A caller may repeat a request that crashes every server which starts to run it, and each crash
 * takes dozens of other requests with it. All of these requests were on a server when it crashed, a
 * few of them in the same state; the cause is the content that most of the crashes have in common.
 * When engines are lost for other reasons, a content coincides with one or two crashes by chance.
 *
 * Requests that differ may share a part of their prompts that crashes servers. Sound requests share
 * the other parts, so the cause is what all of the crashed runs share and no later run survived.
 */

/**
 * A crash of one incarnation of a backend server, and one content that it ran or was being sent.
 */
export interface CrashInvolvement {
  readonly content: string;
  /** Identifies the incarnation of the server. */
  readonly instanceId: string;
  /** How long the content had run on the server. */
  readonly ranMs: number;
  /** `run` if the server had started the content, `attempt` if only an attempt is known. */
  readonly evidence: 'run' | 'attempt';
  /** When the crash was published, on this VM's monotonic clock; 0 by default. */
  readonly endedAtMs?: number;
  /**
   * Keys of the parts of the prompt under which no server has begun an answer since; none by
   * default.
   */
  readonly parts?: readonly string[];
  /** The subset of `parts` that servers answered shortly before the crash; none by default. */
  readonly servedParts?: readonly string[];
}

export interface CrashJudgement {
  /** Contents to quarantine. */
  readonly contents: ReadonlySet<string>;
  /** Combinations of parts; a request that has all parts of one of them is to be quarantined. */
  readonly combinations: readonly (readonly string[])[];
  /** When the judgement must be repeated although no crash becomes known; null if not at all. */
  readonly dueAtMs: number | null;
}

/**
 * Number of crashes after which a content is quarantined. Two occur by chance: a request that lost
 * one engine is immediately sent to another one, which may be lost too. Every additional crash
 * costs a chain its first engine.
 */
export const QUARANTINE_CRASHES = 3;
/**
 * Number of the crashed servers that must have started to run the content. Several attempts are in
 * progress at every crash by chance, so attempts alone are not sufficient evidence.
 */
const MIN_RUN_CRASHES = 2;
/**
 * Time after the third crash in which runs that survive can still clear a part. A part that many
 * requests share is in many crashes, and is cleared when one of these requests begins its answer.
 */
export const PART_SETTLE_MS = 750;
/**
 * The same for a part that servers answered before. A part that never was is the likelier cause of
 * the same crashes, and gets the time to show as such.
 */
export const SERVED_PART_SETTLE_MS = 2000;

interface Suspect {
  readonly kind: 'content' | 'part';
  /** Content or key of the part. */
  readonly key: string;
  readonly involvements: readonly CrashInvolvement[];
  readonly instanceIds: ReadonlySet<string>;
  /** The subset of `instanceIds` that had started to run it. */
  readonly ranOnIds: ReadonlySet<string>;
  /** Mean time that it had run on the servers in `ranOnIds`. */
  readonly meanRanMs: number;
  /** Parts that all runs with this part share; empty for a content. */
  readonly combination: readonly string[];
  /** Whether it is a part that servers answered shortly before one of the crashes. */
  readonly wasServed: boolean;
}

/** Number of crashes of a suspect that no quarantined suspect explains. */
interface UnexplainedCounts {
  readonly suspect: Suspect;
  readonly crashes: number;
  readonly runCrashes: number;
}

type IsExplained = (instanceId: string) => boolean;

/** Returns since when a suspect has had enough unexplained crashes; infinite if it has not. */
type MaturityRule = (suspect: Suspect, isExplained: IsExplained) => number;

function countUnexplained(ids: ReadonlySet<string>, isExplained: IsExplained): number {
  return [...ids].filter((id) => !isExplained(id)).length;
}

/**
 * A part needs crashes of different contents, each sent after the crash before: requests that were
 * on servers which ended at the same moment share many parts by chance, and crashes of one content
 * say nothing about its parts.
 */
function findPartMaturity({ involvements, wasServed }: Suspect, isExplained: IsExplained): number {
  const settleMs = wasServed ? SERVED_PART_SETTLE_MS : PART_SETTLE_MS;
  const inOrder = involvements
    .filter(({ instanceId }) => !isExplained(instanceId))
    .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
  const contents = new Set<string>();
  let lastEndedAtMs = Number.NEGATIVE_INFINITY;
  for (const { content, endedAtMs = 0, ranMs } of inOrder) {
    if (!contents.has(content) && endedAtMs - ranMs >= lastEndedAtMs) {
      contents.add(content);
      lastEndedAtMs = endedAtMs;
      if (contents.size === QUARANTINE_CRASHES) return lastEndedAtMs + settleMs;
    }
  }
  return Number.POSITIVE_INFINITY;
}

function findContentMaturity({ instanceIds, ranOnIds }: Suspect, isExplained: IsExplained): number {
  const isMature =
    countUnexplained(instanceIds, isExplained) >= QUARANTINE_CRASHES &&
    countUnexplained(ranOnIds, isExplained) >= MIN_RUN_CRASHES;
  return isMature ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
}

const MATURITY_RULES: Readonly<Record<Suspect['kind'], MaturityRule>> = {
  content: findContentMaturity,
  part: findPartMaturity,
};

function groupInvolvements(
  involvements: readonly CrashInvolvement[],
  keysOf: (involvement: CrashInvolvement) => readonly string[],
): ReadonlyMap<string, readonly CrashInvolvement[]> {
  const groups = new Map<string, CrashInvolvement[]>();
  involvements.forEach((involvement) =>
    keysOf(involvement).forEach((key) => {
      const known = groups.get(key);
      if (known) known.push(involvement);
      else groups.set(key, [involvement]);
    }),
  );
  return groups;
}

function createSuspect(
  kind: Suspect['kind'],
  key: string,
  involvements: readonly CrashInvolvement[],
): Suspect {
  const runs = involvements.filter(({ evidence }) => evidence === 'run');
  const [{ parts: firstParts = [] } = {}] = involvements;
  const isServedIn = ({ servedParts = [] }: CrashInvolvement) => servedParts.includes(key);
  const isShared = (part: string) => involvements.every(({ parts }) => parts?.includes(part));
  return {
    kind,
    key,
    involvements,
    instanceIds: new Set(involvements.map(({ instanceId }) => instanceId)),
    ranOnIds: new Set(runs.map(({ instanceId }) => instanceId)),
    meanRanMs: runs.reduce((sum, { ranMs }) => sum + ranMs, 0) / Math.max(1, runs.length),
    combination: kind === 'part' ? firstParts.filter(isShared).sort() : [],
    wasServed: kind === 'part' && involvements.some(isServedIn),
  };
}

function listSuspects(involvements: readonly CrashInvolvement[]): readonly Suspect[] {
  const byContent = groupInvolvements(involvements, ({ content }) => [content]);
  const runs = involvements.filter(({ evidence }) => evidence === 'run');
  const byPart = groupInvolvements(runs, ({ parts = [] }) => parts);
  return [
    ...[...byContent].map(([key, group]) => createSuspect('content', key, group)),
    ...[...byPart].map(([key, group]) => createSuspect('part', key, group)),
  ];
}

/**
 * Whether `a` is the likelier cause: no server answered it before, it has more crashes or, if
 * equal, has a larger combination of parts, or ran for less time.
 */
function isLikelier(a: UnexplainedCounts, b: UnexplainedCounts): boolean {
  const [suspectA, suspectB] = [a.suspect, b.suspect];
  if (suspectA.wasServed !== suspectB.wasServed) return suspectB.wasServed;
  if (a.runCrashes !== b.runCrashes) return a.runCrashes > b.runCrashes;
  if (a.crashes !== b.crashes) return a.crashes > b.crashes;
  if (suspectA.combination.length !== suspectB.combination.length)
    return suspectA.combination.length > suspectB.combination.length;
  if (suspectA.meanRanMs !== suspectB.meanRanMs) return suspectA.meanRanMs < suspectB.meanRanMs;
  return suspectA.key < suspectB.key;
}

interface Selection {
  readonly causes: readonly Suspect[];
  readonly dueAtMs: number;
}

/**
 * Selects the suspects that cause crashes. The one with most crashes is selected first, and the
 * crashes that it explains no longer count against others, which clears requests that merely ran on
 * the same servers.
 *
 * Source: the greedy algorithm for set cover, Chvatal, "A greedy heuristic for the set-covering
 * problem", Mathematics of Operations Research, 1979.
 */
function selectCauses(suspects: readonly Suspect[], nowMs: number): Selection {
  const explained = new Set<string>();
  const isExplained: IsExplained = (id) => explained.has(id);
  const causes: Suspect[] = [];
  let dueAtMs = Number.POSITIVE_INFINITY;

  for (;;) {
    const candidates = suspects
      .filter((suspect) => !causes.includes(suspect))
      .map((suspect) => ({
        suspect,
        maturesAtMs: MATURITY_RULES[suspect.kind](suspect, isExplained),
      }));
    const futureMs = candidates
      .map(({ maturesAtMs }) => maturesAtMs)
      .filter((atMs) => atMs > nowMs);
    dueAtMs = Math.min(dueAtMs, ...futureMs);
    const likeliest = candidates
      .filter(({ maturesAtMs }) => maturesAtMs <= nowMs)
      .map(({ suspect }): UnexplainedCounts => ({
        suspect,
        crashes: countUnexplained(suspect.instanceIds, isExplained),
        runCrashes: countUnexplained(suspect.ranOnIds, isExplained),
      }))
      .reduce<UnexplainedCounts | undefined>(
        (best, next) => (best && !isLikelier(next, best) ? best : next),
        undefined,
      );
    if (!likeliest) return { causes, dueAtMs };
    causes.push(likeliest.suspect);
    likeliest.suspect.instanceIds.forEach((id) => explained.add(id));
  }
}

/**
 * Returns what to quarantine. The result depends only on the set of crashes and the time: VMs that
 * know the same crashes agree regardless of the order of arrival, and a result that was wrong
 * because a crash was not known yet is corrected when it becomes known.
 *
 * Contents and parts are judged apart, as neither explains the crashes of the other: a content that
 * is repeated may crash the servers that a part crashes too.
 */
export function judgeCrashes(
  involvements: readonly CrashInvolvement[],
  nowMs: number,
): CrashJudgement {
  const suspects = listSuspects(involvements);
  const select = (kind: Suspect['kind']) =>
    selectCauses(
      suspects.filter((suspect) => suspect.kind === kind),
      nowMs,
    );
  const contents = select('content');
  const parts = select('part');
  const dueAtMs = Math.min(contents.dueAtMs, parts.dueAtMs);
  return {
    contents: new Set(contents.causes.map(({ key }) => key)),
    combinations: parts.causes.map(({ combination }) => combination),
    dueAtMs: Number.isFinite(dueAtMs) ? dueAtMs : null,
  };
}
