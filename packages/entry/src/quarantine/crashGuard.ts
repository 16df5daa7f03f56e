/** Protects backend servers from requests that crash them: detects, judges and quarantines them. */
import { parseInstanceId } from '@spoolplank/membership';
import type {
  ClearanceFact,
  CrashFact,
  FactTable,
  OpenRunFact,
  SystemFact,
} from '@spoolplank/membership';
import { scheduleTimer } from '@spoolplank/node';
import type { EventLog, Metrics } from '@spoolplank/node';
import { rankByRendezvous } from '@spoolplank/shared';
import type { Clock, Random } from '@spoolplank/shared';
import type { BackendTarget } from '../dispatch/backendOperations';
import { createCrashReporter } from './crashReporter';
import type { CrashReporter } from './crashReporter';
import type { EngineHealth } from '../repair/engineHealth';
import { createOwnStatements } from '../gossip/ownStatements';
import { createQuarantine } from './quarantine';
import type { Quarantine } from './quarantine';
import { contentOf, digestContent } from './requestContent';
import type { RoutingView } from '../gossip/routingView';
import type { StreamRow, StreamTable } from '../dispatch/streamTable';

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** This VM. */
  readonly host: string;
  readonly table: FactTable<SystemFact>;
  readonly view: RoutingView;
  readonly streams: StreamTable;
  readonly health: Pick<EngineHealth, 'isLost'>;
  /** Whether a new connection to an address is accepted. */
  readonly isThere: (address: string) => Promise<boolean>;
  /** Sends the statements of this VM to the others immediately. */
  readonly spread: () => void;
}

export interface CrashGuard {
  readonly quarantine: Quarantine;
  readonly crashes: CrashReporter;
  /**
   * Records the loss of an engine as a crash under a stream on its path, if the stream has been
   * answered but has had no event yet.
   */
  recordLost(row: StreamRow, instanceId: string): void;
  /** Must be called when such a fact was stated, by this VM or another. */
  onFact(body: GuardFact): void;
  /** Removes expired facts. */
  sweep(): void;
}

/** Facts about contents that may crash servers. */
export type GuardFact = CrashFact | ClearanceFact | OpenRunFact;

const GUARD_FACTS: ReadonlySet<SystemFact['kind']> = new Set<GuardFact['kind']>([
  'crash',
  'clearance',
  'open-run',
]);

export function isGuardFact(body: SystemFact): body is GuardFact {
  return GUARD_FACTS.has(body.kind);
}

/** Returns a function that schedules `run`, coalescing the calls made before it has run. */
function createCoalesced(schedule: (run: () => void) => void, run: () => void): () => void {
  let isDue = false;
  return () => {
    if (isDue) return;
    isDue = true;
    schedule(() => {
      isDue = false;
      run();
    });
  };
}

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, host, table, view, streams, health } = options;

  /** Many streams report one crash at the same moment; their statements share one exchange. */
  const spreadSoon = createCoalesced((run) => scheduleTimer(run, 0), options.spread);

  /**
   * Whether an incarnation of a server has ended: it is suspected, its next incarnation is known,
   * or another server has announced itself at its address since `sinceMs`. Older announcements
   * prove nothing, as a slot may name an incarnation that this VM does not know yet.
   */
  function hasEnded({ instanceId, address }: BackendTarget, sinceMs: number): boolean {
    const owner = view.findByAddress(address);
    const isOther =
      owner?.body.kind === 'backend' &&
      parseInstanceId(owner.body.instanceId).serverId !== parseInstanceId(instanceId).serverId;
    const isTaken = isOther && owner.receivedAtMs >= sinceMs;
    return isTaken || health.isLost(instanceId);
  }

  /**
   * Returns the later incarnation of the server if it had announced itself before the request was
   * sent. Otherwise two incarnations that crashed under one content would be counted as one.
   */
  function findReceiver({ instanceId, address }: BackendTarget, sentAtMs: number): string {
    const owner = view.findByAddress(address);
    if (owner?.body.kind !== 'backend' || owner.receivedAtMs >= sentAtMs) return instanceId;
    const meant = parseInstanceId(instanceId);
    const there = parseInstanceId(owner.body.instanceId);
    const isNext = there.serverId === meant.serverId && there.incarnation > meant.incarnation;
    return isNext ? owner.body.instanceId : instanceId;
  }

  /** Position of this VM in the order in which entries report the end of another VM's open run. */
  function rankOf(key: string): number {
    const hosts = view.listMembers('entry').map((member) => member.host);
    return Math.max(0, rankByRendezvous(key, hosts).indexOf(host));
  }

  const statements = createOwnStatements({ clock, table, spread: spreadSoon });
  const quarantine: Quarantine = createQuarantine({ ...options, statements });
  const crashes = createCrashReporter({
    clock,
    table,
    state: statements.state,
    isSuspected: quarantine.isSuspected,
    isReachable: options.isThere,
    findReceiver,
    hasEnded,
    rankOf,
    onEnd: quarantine.recordEnd,
  });

  /** Cuts the streams in flight whose content is quarantined and that have had no event yet. */
  function endQuarantined(): void {
    [...streams.list()]
      .filter(({ hasBegun, admitted }) => !hasBegun && quarantine.has(contentOf(admitted)))
      .forEach((row) => row.cut('quarantined'));
  }

  /**
   * Runs after all facts of one exchange have been merged. With only a part of them, a request that
   * ran beside the crashing one could be quarantined and its streams cut.
   */
  const refreshSoon = createCoalesced(queueMicrotask, () => {
    if (quarantine.refresh()) endQuarantined();
  });

  return {
    quarantine,
    crashes,
    recordLost(row, instanceId) {
      if (!row.hasAnswered || row.hasBegun) return;
      const content = digestContent(contentOf(row.admitted));
      const ranMs = Math.round(clock.nowMs() - row.startedAtMs);
      quarantine.recordEnd({ content, instanceId, turn: 0, evidence: 'run', ranMs });
    },
    onFact(body) {
      if (body.kind === 'open-run') {
        crashes.onFact(body);
        return;
      }
      quarantine.onFact(body);
      refreshSoon();
    },
    sweep() {
      statements.sweep();
      quarantine.sweep();
    },
  };
}
