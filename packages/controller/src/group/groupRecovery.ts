/** Recovers a group from one copy after the permanent loss of a majority, on operator request. */
import { decideRecovery } from '@spoolplank/consensus';
import type { GroupCopy, RecoveryDecision } from '@spoolplank/consensus';
import type { EventLog, PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';

/** A copy of the log on one VM. */
export interface DescribedCopy extends GroupCopy {
  readonly vmId: string;
  /** Short description of the copy's state machine, such as a version. */
  readonly state: string;
}

/** The copies that were found and the resulting decision, as shown to an operator. */
export interface RecoveryReport {
  readonly copies: readonly DescribedCopy[];
  /** Control VMs that did not respond or have no copy. */
  readonly without: readonly string[];
  readonly decision: RecoveryDecision<DescribedCopy>;
}

export interface GroupRecoveryOptions {
  readonly log: Pick<EventLog, 'warn'>;
  readonly peers: PeerClient;
  readonly vmId: string;
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  /** The copy on this VM; null if it has none. */
  readonly describeCopy: () => DescribedCopy | null;
  /** Restarts this VM's replica as the only voter of the next generation. */
  readonly restartAsOnlyVoter: () => Promise<void>;
}

export interface GroupRecovery {
  /** RPC methods that other control VMs call. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  report(): Promise<RecoveryReport>;
  /**
   * Recovers the group from the copy of a replica, which must be the one named in the report.
   *
   * @throws SpoolplankError `recovery-refused` with the reason.
   */
  recover(replicaId: string): Promise<RecoveryReport>;
}

const INSPECT_TIMEOUT_MS = 1000;
/** The remote VM writes and syncs a snapshot before it responds. */
const RECOVER_TIMEOUT_MS = 10_000;

function refuse(detail: string): never {
  throw new SpoolplankError('recovery-refused', { detail });
}

export function createGroupRecovery(options: GroupRecoveryOptions): GroupRecovery {
  const { log, peers, vmId, listOthers, findTarget, describeCopy, restartAsOnlyVoter } = options;

  async function fetchCopy(other: string): Promise<DescribedCopy | null> {
    const target = findTarget(other);
    if (!target) return null;
    return peers
      .call<DescribedCopy | null>(target, 'group.inspect', {}, { timeoutMs: INSPECT_TIMEOUT_MS })
      .catch(() => null);
  }

  async function report(): Promise<RecoveryReport> {
    const others = listOthers();
    const answers = await Promise.all(others.map(fetchCopy));
    const copies = [describeCopy(), ...answers].filter((copy) => copy !== null);
    const holders = copies.map((copy) => copy.vmId);
    return {
      copies,
      without: [vmId, ...others].filter((other) => !holders.includes(other)),
      decision: decideRecovery(copies),
    };
  }

  /** Creates a new report, as the one that the operator saw may be outdated. */
  async function assertRecoverable(replicaId: string): Promise<RecoveryReport> {
    const current = await report();
    const { decision } = current;
    if (decision.kind === 'refuse') return refuse(decision.reason);
    const { copy } = decision;
    if (copy.replicaId !== replicaId) return refuse(`${copy.replicaId} holds more.`);
    return current;
  }

  async function recoverHere(replicaId: string): Promise<void> {
    const { decision } = await assertRecoverable(replicaId);
    const risk = decision.kind === 'recover' ? decision.risk : '';
    log.warn('group-recovered', { replica: replicaId, risk });
    await restartAsOnlyVoter();
  }

  return {
    methods: {
      'group.inspect': () => describeCopy() as unknown as JsonValue,
      'group.recover': async (params) => {
        const { replicaId } = params as unknown as { readonly replicaId: string };
        if (describeCopy()?.replicaId !== replicaId) refuse('It is not on this VM.');
        await recoverHere(replicaId);
        return null;
      },
    },
    report,
    async recover(replicaId) {
      const before = await assertRecoverable(replicaId);
      if (describeCopy()?.replicaId === replicaId) {
        await recoverHere(replicaId);
        return before;
      }
      const holder = before.copies.find((copy) => copy.replicaId === replicaId);
      const target = holder && findTarget(holder.vmId);
      if (!target) return refuse('Its VM cannot be reached.');
      await peers.call(target, 'group.recover', { replicaId }, { timeoutMs: RECOVER_TIMEOUT_MS });
      return before;
    },
  };
}
