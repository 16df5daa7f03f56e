/**
 * Selects the control VMs whose facts a control VM receives. Replica VMs, which have a disk,
 * receive from each other. A relay VM, which has none, exchanges facts with a few replica VMs only,
 * so that the cost of a relay VM does not grow with the number of control VMs.
 */
import type { MemberFact } from '@spoolplank/membership';
import { rankByRendezvous } from '@spoolplank/shared';

export interface FeedSourcesOptions {
  readonly host: string;
  /**
   * Number of replica VMs with which each relay VM exchanges facts. One more than the losses in the
   * settings keeps every relay VM connected.
   */
  readonly sourcesPerRelay: number;
  readonly rank?: typeof rankByRendezvous;
}

export interface FeedSourcesView {
  /** Live control VMs, this one included. */
  readonly members: readonly MemberFact[];
  /** Hosts of the other control VMs, including those that are known only by their address. */
  readonly others: readonly string[];
}

type SelectFeedSources = (view: FeedSourcesView) => readonly string[];

/**
 * Returns a function that lists the hosts to receive facts from. Both ends of an exchange derive it
 * from the same members. It is computed again only when these change, as it costs a hash for each
 * pair of a relay VM and a replica VM.
 */
export function createFeedSources(options: FeedSourcesOptions): SelectFeedSources {
  const { host, sourcesPerRelay, rank = rankByRendezvous } = options;
  let lastKey = '';
  let lastSources: readonly string[] = [];

  function select({ members, others }: FeedSourcesView): readonly string[] {
    const replicas = members.filter(({ replicaId }) => replicaId !== undefined);
    const hostsOf = (list: readonly MemberFact[]) => list.map((member) => member.host);
    /** Replica VMs of the data centre of a relay VM come first. */
    const sourcesOf = (relay: MemberFact): readonly string[] => {
      const local = replicas.filter(({ dataCentre }) => dataCentre === relay.dataCentre);
      const ranked = [...rank(relay.host, hostsOf(local)), ...rank(relay.host, hostsOf(replicas))];
      return [...new Set(ranked)].slice(0, sourcesPerRelay);
    };
    const relays = members.filter(({ replicaId }) => replicaId === undefined);
    const self = relays.find((relay) => relay.host === host);
    if (self) {
      const sources = sourcesOf(self);
      return sources.length > 0 ? sources : others;
    }
    const isServedElsewhere = (other: string) => {
      const relay = relays.find((candidate) => candidate.host === other);
      return relay !== undefined && !sourcesOf(relay).includes(host);
    };
    return others.filter((other) => !isServedElsewhere(other));
  }

  return (view) => {
    const key = JSON.stringify([
      view.members.map((member) => [
        member.host,
        member.dataCentre,
        member.replicaId !== undefined,
      ]),
      view.others,
    ]);
    if (key !== lastKey) {
      lastKey = key;
      lastSources = select(view);
    }
    return lastSources;
  };
}
