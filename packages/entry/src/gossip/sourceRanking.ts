/** Ranks the control VMs with which an entry may exchange facts. */
import type { MemberFact } from '@spoolplank/membership';
import { rankByRendezvous } from '@spoolplank/shared';

export interface SourceRankingOptions {
  readonly host: string;
  readonly dataCentre: string;
  readonly listControlMembers: () => readonly MemberFact[];
  /** Hosts of control VMs named in the settings. */
  readonly seeds: () => readonly string[];
  readonly rank?: typeof rankByRendezvous;
}

/**
 * Returns a function that lists control VMs in order of preference: those of this data centre
 * first, each group ranked by a hash with this entry's host, so that entries spread over them. The
 * order is computed when the members or the seeds have changed, as it costs a hash for each.
 */
export function createSourceRanking(options: SourceRankingOptions): () => readonly string[] {
  const { host, dataCentre, listControlMembers, seeds, rank = rankByRendezvous } = options;
  let rankedNames = '';
  let order: readonly string[] = [];

  return () => {
    const members = listControlMembers();
    const seedHosts = seeds();
    const names = JSON.stringify([
      members.map((member) => [member.host, member.dataCentre]),
      seedHosts,
    ]);
    if (names === rankedNames) return order;
    const hosts = members.map((member) => member.host);
    const localHosts = members
      .filter((member) => member.dataCentre === dataCentre)
      .map((member) => member.host);
    order = [...new Set([...rank(host, localHosts), ...rank(host, hosts), ...seedHosts])];
    rankedNames = names;
    return order;
  };
}
