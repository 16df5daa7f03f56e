/** Turns the log copy of one replica into a new group of which the replica is the only voter. */
import type { ReplicaId, ReplicaStorage, StateMachine } from '@spoolplank/consensus';

export interface CopyRestartOptions {
  readonly storage: ReplicaStorage;
  readonly stateMachine: StateMachine;
  readonly replicaId: ReplicaId;
}

/**
 * Applies all entries of the copy, whether committed or not, and stores the result as a snapshot
 * with this replica as the only voter. The replica must be stopped.
 */
export async function restartFromCopy(options: CopyRestartOptions): Promise<void> {
  const { storage, stateMachine, replicaId } = options;
  const { snapshot, base, entries, hardState } = await storage.load();
  stateMachine.restore(snapshot ? await storage.readSnapshot() : '');
  const covered = snapshot?.index ?? 0;
  entries.forEach(({ index, payload }) => {
    if (index > covered && payload.kind === 'command') stateMachine.apply(payload.command);
  });
  const lastIndex = base.index + entries.length;
  const configuration = { voters: [replicaId], learners: [] };
  await storage.installSnapshot(
    { index: lastIndex + 1, term: hardState.term, configuration },
    stateMachine.takeSnapshot(),
  );
}
