/** Carries out what `decideBootstrap` decides, until a blank replica has its group. */
import { decideBootstrap } from '@spoolplank/consensus';
import type { GroupDescription, ReplicaId, ReplicaStorage } from '@spoolplank/consensus';
import { delay } from '@spoolplank/node';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';

export interface FindGroupOptions {
  readonly context: VmContext;
  readonly replicaId: ReplicaId;
  readonly storage: ReplicaStorage;
  readonly isStopped: () => boolean;
}

const RETRY_MS = 300;
/** Place of the founding configuration, before the first elected term. */
const FOUNDING_PLACE = { index: 1, term: 0 };

async function askOthers(context: VmContext): Promise<readonly (GroupDescription | undefined)[]> {
  const { settings, peers } = context;
  const others = listVmsWithRole(settings, 'control').filter(
    ({ vmId }) => vmId !== settings.vm.vmId,
  );
  return Promise.all(
    others.map((vm) =>
      peers.call<GroupDescription>(toPeerTarget(vm), 'group.describe', {}).catch(() => undefined),
    ),
  );
}

/** Resolves when the replica knows of its group, or has founded it; or when it is stopped. */
export async function findGroup(options: FindGroupOptions): Promise<void> {
  const { context, replicaId, storage, isStopped } = options;
  const { logger } = context;
  let lastReason = '';
  while (!isStopped()) {
    const step = decideBootstrap({ self: replicaId, others: await askOthers(context) });
    if (step.kind === 'found') {
      const { configuration } = step;
      await storage.installSnapshot({ ...FOUNDING_PLACE, configuration }, '');
      logger.info('group-founded', { voters: configuration.voters.join(',') });
      return;
    }
    if (step.kind !== 'wait') {
      logger.info('group-found', { step: step.kind });
      return;
    }
    if (step.reason !== lastReason) logger.info('group-awaited', { reason: step.reason });
    lastReason = step.reason;
    await delay(RETRY_MS);
  }
}
