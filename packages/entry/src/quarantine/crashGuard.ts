/**
 * Protects backend servers from requests that crash them: detects crashes, judges which contents
 * caused them, and quarantines these contents. The VMs share what they observe as facts, which are
 * records that all VMs replicate by gossip.
 */
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
import { createFactPublisher } from '../gossip/factPublisher';
import { createQuarantine } from './quarantine';
import type { Quarantine } from './quarantine';
import { contentOf, digestContent, partsOf } from './requestContent';
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
  /** Whether the server at an address accepts a new connection of this VM or of another one. */
  readonly isReachable: (address: string) => Promise<boolean>;
  /** Sends the facts that this VM publishes at once, instead of with the next exchange. */
  readonly exchangeNow: () => void;
}

export interface CrashGuard {
  readonly quarantine: Quarantine;
  readonly crashes: CrashReporter;
  /**
   * Records the loss of an engine as a crash that the content of a stream on its path may have
   * caused, if the head of the stream's response has arrived but no part of the body.
   */
  recordLost(row: StreamRow, instanceId: string): void;
  /** Must be called with each such fact that this VM or another has published. */
  onFact(body: GuardFact): void;
  /** Removes expired facts. */
  sweep(): void;
}

/** Bounds how often a VM clears a part. */
const CLEARANCE_DELAY_MS = 100;
/** Longest random delay beyond that, for each entry VM of the deployment. */
const CLEARANCE_SPREAD_MS = 1;

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
  const { clock, random, host, table, view, streams, health } = options;
  let isRefreshScheduled = false;

  /** Many streams report one crash at the same moment; their facts are sent in one exchange. */
  const exchangeSoon = createCoalesced((run) => scheduleTimer(run, 0), options.exchangeNow);

  /**
   * Whether an incarnation of a server has ended: it is suspected, its next incarnation is known,
   * or another server has announced itself at its address since `sinceMs`. Older announcements of
   * another server prove nothing: the incarnation, which a granted slot named, may be newer than
   * what this VM knows of the address.
   */
  function isLostOrReplaced({ instanceId, address }: BackendTarget, sinceMs: number): boolean {
    const owner = view.findByAddress(address);
    const isOther =
      owner?.body.kind === 'backend' &&
      parseInstanceId(owner.body.instanceId).serverId !== parseInstanceId(instanceId).serverId;
    const isTaken = isOther && owner.receivedAtMs >= sinceMs;
    return isTaken || health.isLost(instanceId);
  }

  /**
   * Returns the incarnation that received a request: a later one than the target, if that had
   * announced itself before the request was sent. Otherwise the crashes of two incarnations under
   * one content would be counted as one.
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

  const publisher = createFactPublisher({ clock, table, exchangeNow: exchangeSoon });
  const quarantine: Quarantine = createQuarantine({
    ...options,
    publisher,
    // Many VMs serve a part that many requests share. The random delay grows with their number, so
    // that only a few of them clear it before they hear that others have.
    deferClearance(run) {
      const spreadMs = 1 + view.listMembers('entry').length * CLEARANCE_SPREAD_MS;
      scheduleTimer(run, CLEARANCE_DELAY_MS + random.nextInt(spreadMs));
    },
  });
  const crashes = createCrashReporter({
    clock,
    table,
    publish: publisher.publish,
    isSuspected: quarantine.isSuspected,
    isReachable: options.isReachable,
    findReceiver,
    isLostOrReplaced,
    rankOf,
    onCrash: quarantine.recordCrash,
  });

  /** Aborts the streams in flight whose content is quarantined, unless events have arrived. */
  function endQuarantined(): void {
    [...streams.list()]
      .filter(({ hasBegun, admitted }) => !hasBegun && quarantine.has(contentOf(admitted)))
      .forEach((row) => row.abort('quarantined'));
  }

  /** Evaluates the quarantine again when time alone may change it. */
  function refreshWhenDue(): void {
    const { dueAtMs } = quarantine;
    if (dueAtMs === null || isRefreshScheduled) return;
    isRefreshScheduled = true;
    scheduleTimer(
      () => {
        isRefreshScheduled = false;
        quarantine.refresh();
        endQuarantined();
        refreshWhenDue();
      },
      Math.max(0, dueAtMs - clock.nowMs()),
    );
  }

  /**
   * Runs after all facts of one exchange have been merged. Judged by only a part of them, a request
   * that merely ran beside the crashing one could be quarantined, and its streams aborted.
   */
  const refreshSoon = createCoalesced(queueMicrotask, () => {
    if (quarantine.refresh()) endQuarantined();
    refreshWhenDue();
  });

  return {
    quarantine,
    crashes,
    recordLost(row, instanceId) {
      if (!row.hasAnswered || row.hasBegun) return;
      const content = contentOf(row.admitted);
      const parts = partsOf(content);
      quarantine.recordCrash({
        content: digestContent(content),
        instanceId,
        turn: 0,
        evidence: 'run',
        ranMs: Math.round(clock.nowMs() - row.startedAtMs),
        ...(parts.length > 0 ? { parts } : {}),
      });
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
      publisher.sweep();
      quarantine.sweep();
    },
  };
}
