/** Discovers the other control VMs: VMs with a process that has the role `control`. */
import type { FactTable, MemberFact, SystemFact } from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';

export interface ControlVmsOptions {
  readonly clock: Clock;
  readonly table: FactTable<SystemFact>;
  /** Host of this VM. */
  readonly host: string;
  readonly dataCentre: string;
  /** Hosts listed in the settings. */
  readonly seeds: () => readonly string[];
  /** Replica ids of the group's voters; each starts with a host. */
  readonly replicas: () => readonly string[];
}

export interface ControlVms {
  /** Hosts of the other control VMs: live members, seeds in the settings, and voters. */
  listOthers(): readonly string[];
  /** Live control VMs, including this one once it has published its member fact. */
  listLiveMembers(): readonly MemberFact[];
  /** Data centre of a live control VM; undefined for others. */
  dataCentreOf(host: string): string | undefined;
  /** Whether this VM performs the tasks that only one control VM of its data centre performs. */
  isDesignated(): boolean;
}

/**
 * Time after which a control VM without a new member fact counts as lost. Control VMs publish the
 * fact every 600 ms and forward received facts every 800 ms, so several updates have been missed.
 */
const MEMBER_LOST_MS = 5000;

export function createControlVms(options: ControlVmsOptions): ControlVms {
  const { clock, table, host, dataCentre, seeds, replicas } = options;

  function listLiveMembers(): readonly MemberFact[] {
    const nowMs = clock.nowMs();
    return table.list().flatMap(({ body, receivedAtMs }) => {
      const isLive = nowMs - receivedAtMs < MEMBER_LOST_MS;
      return body.kind === 'member' && body.role === 'control' && isLive ? [body] : [];
    });
  }

  return {
    listLiveMembers,
    listOthers() {
      const memberHosts = listLiveMembers().map((member) => member.host);
      const voters = replicas().map((replica) => replica.split('#')[0] ?? '');
      const hosts = [...new Set([...seeds(), ...memberHosts, ...voters])];
      return hosts.filter((other) => other !== host && other !== '');
    },
    dataCentreOf: (other) =>
      other === host
        ? dataCentre
        : listLiveMembers().find((member) => member.host === other)?.dataCentre,
    isDesignated() {
      const here = listLiveMembers().filter((member) => member.dataCentre === dataCentre);
      // The host that sorts first is designated, so VMs that know the same members agree.
      return [host, ...here.map((member) => member.host)].sort()[0] === host;
    },
  };
}
