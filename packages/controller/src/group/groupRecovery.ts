/** Lets a group go on from one copy where a majority is gone for good, as an operator decides. */
import { decideRecovery } from '@spoolplank/consensus';
import type { GroupCopy, RecoveryDecision } from '@spoolplank/consensus';
import type { EventLog, PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';

/** A copy, and what it is good for. */
export interface DescribedCopy extends GroupCopy {
  readonly vmId: string;
  /** What the copy's state machine holds, in a few words: a version, say. */
  readonly state: string;
}

/** What an operator is shown, and what is decided from it. */
export interface RecoveryReport {
  readonly copies: readonly DescribedCopy[];
  /** Control VMs that did not answer, or hold no copy. */
  readonly without: readonly string[];
  readonly decision: RecoveryDecision<DescribedCopy>;
}

export interface GroupRecoveryOptions {
  readonly log: Pick<EventLog, 'warn'>;
  readonly peers: PeerClient;
  readonly vmId: string;
  readonly listOthers: () => readonly string[];
  readonly findTarget: (vmId: string) => PeerTarget | undefined;
  /** What this VM holds; null while that is nothing. */
  readonly describeCopy: () => DescribedCopy | null;
  /** Has this VM's replica go on alone, in the next generation. */
  readonly goOnAlone: () => Promise<void>;
}

export interface GroupRecovery {
  /** What other control VMs call here. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  report(): Promise<RecoveryReport>;
  /**
   * Has the group go on from the copy of a replica, which must be the one that the report names.
   *
   * @throws SpoolplankError `recovery-refused` with the reason.
   */
  recover(replicaId: string): Promise<RecoveryReport>;
}

const ASK_TIMEOUT_MS = 1000;
/** A snapshot is written and synced meanwhile. */
const RECOVER_TIMEOUT_MS = 10_000;

function refuse(detail: string): never {
  throw new SpoolplankError('recovery-refused', { detail });
}

export function createGroupRecovery(options: GroupRecoveryOptions): GroupRecovery {
  const { log, peers, vmId, listOthers, findTarget, describeCopy, goOnAlone } = options;

  async function askForCopy(other: string): Promise<DescribedCopy | null> {
    const target = findTarget(other);
    if (!target) return null;
    return peers
      .call<DescribedCopy | null>(target, 'group.inspect', {}, ASK_TIMEOUT_MS)
      .catch(() => null);
  }

  async function report(): Promise<RecoveryReport> {
    const others = listOthers();
    const answers = await Promise.all(others.map(askForCopy));
    const copies = [describeCopy(), ...answers].filter((copy) => copy !== null);
    const holders = copies.map((copy) => copy.vmId);
    return {
      copies,
      without: [vmId, ...others].filter((other) => !holders.includes(other)),
      decision: decideRecovery(copies),
    };
  }

  /** Asks everyone again, as the report that an operator saw may be old. */
  async function assertChosen(replicaId: string): Promise<RecoveryReport> {
    const current = await report();
    const { decision } = current;
    if (decision.kind === 'refuse') return refuse(decision.reason);
    const { copy } = decision;
    if (copy.replicaId !== replicaId) return refuse(`${copy.replicaId} holds more.`);
    return current;
  }

  async function recoverHere(replicaId: string): Promise<void> {
    const { decision } = await assertChosen(replicaId);
    const risk = decision.kind === 'recover' ? decision.risk : '';
    log.warn('group-recovered', { replica: replicaId, risk });
    await goOnAlone();
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
      const before = await assertChosen(replicaId);
      if (describeCopy()?.replicaId === replicaId) {
        await recoverHere(replicaId);
        return before;
      }
      const holder = before.copies.find((copy) => copy.replicaId === replicaId);
      const target = holder && findTarget(holder.vmId);
      if (!target) return refuse('Its VM cannot be reached.');
      await peers.call(target, 'group.recover', { replicaId }, RECOVER_TIMEOUT_MS);
      return before;
    },
  };
}
