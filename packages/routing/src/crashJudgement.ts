/**
 * Determines which request contents crash the backend servers that run them.
 *
 * A caller may repeat a request that crashes every server which starts to run it, and each crash
 * takes dozens of other requests with it. All of these requests were on a server when it crashed, a
 * few of them in the same state; the cause is the content that most of the crashes have in common.
 * When engines are lost for other reasons, a content coincides with one or two crashes by chance.
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

interface Suspect {
  readonly content: string;
  readonly instanceIds: ReadonlySet<string>;
  /** The subset of `instanceIds` that had started to run the content. */
  readonly ranOnIds: ReadonlySet<string>;
  /** Mean time that the content had run on the servers in `ranOnIds`. */
  readonly meanRanMs: number;
}

/** Number of crashes of a suspect that no quarantined content explains. */
interface UnexplainedCounts {
  readonly suspect: Suspect;
  readonly crashes: number;
  readonly runCrashes: number;
}

function listSuspects(involvements: readonly CrashInvolvement[]): readonly Suspect[] {
  const byContent = new Map<string, CrashInvolvement[]>();
  involvements.forEach((involvement) => {
    const known = byContent.get(involvement.content);
    if (known) known.push(involvement);
    else byContent.set(involvement.content, [involvement]);
  });
  return [...byContent].map(([content, ofContent]) => {
    const runs = ofContent.filter(({ evidence }) => evidence === 'run');
    return {
      content,
      instanceIds: new Set(ofContent.map(({ instanceId }) => instanceId)),
      ranOnIds: new Set(runs.map(({ instanceId }) => instanceId)),
      meanRanMs: runs.reduce((sum, { ranMs }) => sum + ranMs, 0) / Math.max(1, runs.length),
    };
  });
}

/** Whether `a` is the likelier cause: it has more crashes or, if equal, ran for less time. */
function isLikelier(a: UnexplainedCounts, b: UnexplainedCounts): boolean {
  if (a.runCrashes !== b.runCrashes) return a.runCrashes > b.runCrashes;
  if (a.crashes !== b.crashes) return a.crashes > b.crashes;
  const [suspectA, suspectB] = [a.suspect, b.suspect];
  if (suspectA.meanRanMs !== suspectB.meanRanMs) return suspectA.meanRanMs < suspectB.meanRanMs;
  return suspectA.content < suspectB.content;
}

/**
 * Returns the contents to quarantine. The content with most crashes is selected first, and the
 * crashes that it explains no longer count against other contents, which clears requests that
 * merely ran on the same servers. The result depends only on the set of crashes: VMs that know the
 * same crashes agree regardless of the order of arrival, and a result that was wrong because a
 * crash was not known yet is corrected when it becomes known.
 *
 * Source: the greedy algorithm for set cover, Chvatal, "A greedy heuristic for the set-covering
 * problem", Mathematics of Operations Research, 1979.
 */
export function findPoisonContents(involvements: readonly CrashInvolvement[]): ReadonlySet<string> {
  const suspects = listSuspects(involvements);
  const explained = new Set<string>();
  const quarantined = new Set<string>();
  const countUnexplained = (ids: ReadonlySet<string>) =>
    [...ids].filter((id) => !explained.has(id)).length;

  for (;;) {
    const likeliest = suspects
      .filter(({ content }) => !quarantined.has(content))
      .map((suspect): UnexplainedCounts => ({
        suspect,
        crashes: countUnexplained(suspect.instanceIds),
        runCrashes: countUnexplained(suspect.ranOnIds),
      }))
      .filter(
        ({ crashes, runCrashes }) => crashes >= QUARANTINE_CRASHES && runCrashes >= MIN_RUN_CRASHES,
      )
      .reduce<UnexplainedCounts | undefined>(
        (best, next) => (best && !isLikelier(next, best) ? best : next),
        undefined,
      );
    if (!likeliest) return quarantined;
    quarantined.add(likeliest.suspect.content);
    likeliest.suspect.instanceIds.forEach((id) => explained.add(id));
  }
}
