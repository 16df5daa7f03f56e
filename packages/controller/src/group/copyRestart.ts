/** Turns the copy of one replica into a group of its own, of which it is the only voter. */
import type { ReplicaId, ReplicaStorage, StateMachine } from '@spoolplank/consensus';

export interface CopyRestartOptions {
  readonly storage: ReplicaStorage;
  readonly stateMachine: StateMachine;
  readonly replicaId: ReplicaId;
}

/**
 * Applies all that the copy holds, in force or not, and stores it as a snapshot with this replica
 * as the only voter. The replica must not run meanwhile.
 */
export async function goOnFromCopy(options: CopyRestartOptions): Promise<void> {
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
