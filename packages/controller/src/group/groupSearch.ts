/** Lets a control VM find its group by querying the others, or bootstrap it with the others. */
import {
  decideBootstrap,
  listVoters,
  newestGeneration,
  vmIdOfReplica,
} from '@spoolplank/consensus';
import type {
  Configuration,
  GroupDescription,
  ReplicaId,
  ReplicaStorage,
} from '@spoolplank/consensus';
import type { EventLog, PeerClient, PeerTarget } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { GroupGeneration } from './groupGeneration';

export interface GroupSearchOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info'>;
  readonly peers: PeerClient;
  readonly vmId: string;
  readonly replicaId: ReplicaId;
  /** VMs that bootstrap the group when none of them has data; empty when the group must exist. */
  readonly bootstrapVmIds: readonly string[];
  /** Number of voters that the losses in the settings require; for the log. */
  readonly votersWanted: number;
  readonly storage: ReplicaStorage;
  readonly generation: GroupGeneration;
  /** The other control VMs that are currently known. */
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
}

export interface GroupSearch {
  /** Queries the other VMs once; returns whether this replica has found its group. */
  tryToFind(): Promise<boolean>;
  /** Other control VMs, including those that others reported as voters. */
  listOthers(): readonly string[];
  /** The generation of a group that was recovered without this replica; null when unknown. */
  findNewerGeneration(): Promise<number | null>;
}

const DESCRIBE_TIMEOUT_MS = 500;
/** Interval at which a wait that continues for the same reason is logged again. */
const WAIT_LOG_INTERVAL_MS = 5000;
/** Log position of the bootstrap configuration, before the first elected term. */
const FOUNDING_POSITION = { index: 1, term: 0 };

export function createGroupSearch(options: GroupSearchOptions): GroupSearch {
  const { clock, log, peers, vmId, replicaId, bootstrapVmIds, storage, generation, findTarget } =
    options;
  const { votersWanted } = options;
  /** VMs of the voters that others reported; the list of known VMs may lack them. */
  const knownVoterVms = new Set<string>();
  const startedAtMs = clock.nowMs();
  let lastWaitReason = '';
  let waitLoggedAtMs = startedAtMs;

  function listOthers(): readonly string[] {
    const all = new Set([...options.listOthers(), ...knownVoterVms]);
    return [...all].filter((other) => other !== vmId);
  }

  async function describeOthers(
    others: readonly string[],
  ): Promise<readonly (GroupDescription | undefined)[]> {
    const descriptions = await Promise.all(
      others.map(async (other) => {
        const target = findTarget(other);
        if (!target) return undefined;
        return peers
          .call<GroupDescription>(target, 'group.describe', {}, { timeoutMs: DESCRIBE_TIMEOUT_MS })
          .catch(() => undefined);
      }),
    );
    descriptions
      .flatMap((description) => description?.configuration ?? [])
      .flatMap(listVoters)
      .forEach((id) => knownVoterVms.add(vmIdOfReplica(id)));
    return descriptions;
  }

  /** Logs why this VM waits, and which of the others do not reply. */
  function logWait(reason: string, silentVms: readonly string[]): void {
    const nowMs = clock.nowMs();
    if (reason === lastWaitReason && nowMs - waitLoggedAtMs < WAIT_LOG_INTERVAL_MS) return;
    lastWaitReason = reason;
    waitLoggedAtMs = nowMs;
    log.info('group-awaited', { reason, silentVms, waitedMs: Math.round(nowMs - startedAtMs) });
  }

  async function foundGroup(configuration: Configuration): Promise<void> {
    await storage.installSnapshot({ ...FOUNDING_POSITION, configuration }, '');
    // The other VMs that start with the system join later, so fewer voters are no shortage yet.
    log.info('group-founded', { voters: configuration.voters, votersWanted });
  }

  return {
    listOthers,
    async tryToFind() {
      const isBootstrapVm = bootstrapVmIds.includes(vmId);
      const others = isBootstrapVm
        ? bootstrapVmIds.filter((other) => other !== vmId)
        : listOthers();
      const descriptions = await describeOthers(others);
      const decision = decideBootstrap({ self: replicaId, others: descriptions });
      const silentVms = others.filter((_other, index) => descriptions[index] === undefined);
      if (decision.kind === 'wait') {
        logWait(decision.reason, silentVms);
        return false;
      }
      if (decision.kind === 'found' && !isBootstrapVm) {
        logWait('no control VM has a group, and this VM is not one of the founders', silentVms);
        return false;
      }
      if (decision.kind === 'found') {
        await foundGroup(decision.configuration);
        return true;
      }
      await generation.advance(newestGeneration(descriptions));
      log.info('group-found', { step: decision.kind });
      return true;
    },
    async findNewerGeneration() {
      const newest = newestGeneration(await describeOthers(listOthers()));
      return newest > generation.current ? newest : null;
    },
  };
}
