/**
 * Wires the components that run a stream over a chain, which is a sequence of engines that together
 * hold all layers of a model: selection, slots, dispatch and repair.
 */
import { delay } from '@spoolplank/node';
import type { PeerClient, PeerMethod } from '@spoolplank/node';
import type { ServerPaths } from '@spoolplank/reach';
import { createChainChoice } from './chainChoice';
import type { CrashGuard } from '../quarantine/crashGuard';
import type { EngineHealth } from '../repair/engineHealth';
import { createEngineProbes } from '../repair/engineProbes';
import type { EntryContext } from '../entryContext';
import { createSlotService } from '../slots/slotService';
import type { SlotService } from '../slots/slotService';
import { createStreamDispatch } from './streamDispatch';
import type { StreamDispatch } from './streamDispatch';
import { createStreamMigration } from '../repair/streamMigration';
import type { Departure } from '../repair/streamMigration';
import type { EntryPosition } from '../repair/pathRepair';
import { createStreamRepair } from '../repair/streamRepair';
import type { StreamRepair } from '../repair/streamRepair';
import type { StreamTable } from './streamTable';

export interface StreamPathOptions {
  readonly context: EntryContext;
  readonly streams: StreamTable;
  readonly health: EngineHealth;
  /** Records streams whose engine was lost, as their content may have crashed the engine. */
  readonly guard: Pick<CrashGuard, 'recordLost'>;
  readonly peers: PeerClient;
  readonly paths?: ServerPaths;
  /** Unique to this incarnation of the process. */
  readonly run: string;
  readonly host: string;
  /** Number of known entries, including this one. */
  readonly countEntries: () => number;
  /** The data centre of a server; undefined when unknown. */
  readonly dataCentreOf: (instanceId: string) => string | undefined;
  /** The announcement of an engine that leaves; undefined while it stays. */
  readonly departureOf: (instanceId: string) => Departure | undefined;
  /** Whether this VM has exchanged facts (gossiped records) for long enough to know all members. */
  readonly isMembershipComplete: () => boolean;
}

export interface StreamPath {
  readonly dispatch: StreamDispatch;
  readonly repair: StreamRepair;
  readonly slots: SlotService;
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

export function createStreamPath(options: StreamPathOptions): StreamPath {
  const { context, streams, health, guard, peers, run, host, countEntries } = options;
  const { clock, random, log, metrics, dataCentre, view, operations, notices, limits } = context;
  const { suspect, avoid } = health;

  function position(): EntryPosition {
    const hosts = view.listMembers('entry').map((member) => member.host);
    const before = hosts.filter((other) => other < host).length;
    return { index: before, count: Math.max(1, hosts.length) };
  }

  const chains = createChainChoice({
    view,
    random,
    dataCentre,
    ownInFlight: (headId) => streams.countOn(headId),
    countEntries,
    unreportedInFlight: (headId) =>
      streams.estimateUnreported(headId, Math.max(0, countEntries() - 1)),
    firstEventMs: (headId) => streams.firstEventMs(headId),
    isAvoided: health.isAvoided,
    backoffMsOf: notices.backoffs.remainingMs,
    maySendWithoutPermit: limits.maySendWithoutPermit,
    position,
  });
  const slots = createSlotService({
    clock,
    random,
    log,
    metrics,
    peers,
    run,
    host,
    dataCentre,
    view,
    streams,
    chains,
    isSharingEngines: context.decisions.sharedEngines.isEnabled,
    listAvoided: health.listAvoided,
    listClosed: notices.listClosed,
    backoffs: notices.backoffs,
    limits,
    countEntries,
    dataCentreOf: options.dataCentreOf,
    isMembershipComplete: options.isMembershipComplete,
    decisions: context.decisions,
  });
  const probes = createEngineProbes({
    clock,
    delay,
    log,
    peers,
    host,
    operations,
    confirmLoss: options.paths?.confirmLoss,
    findDesignated: slots.findAllocator,
    countEntries,
  });
  const { departureOf } = options;
  const migration = context.decisions.migration.isEnabled
    ? createStreamMigration({ clock, departureOf, position })
    : undefined;
  let handOver: StreamDispatch['handOver'] = () => Promise.resolve(null);
  const repair = createStreamRepair({
    context,
    streams,
    chains,
    suspect,
    avoid,
    paths: options.paths,
    requestProbe: probes.requestProbe,
    onLost: guard.recordLost,
    migration,
    handOver: (row) => handOver(row),
  });
  const dispatch = createStreamDispatch({
    context,
    streams,
    slots: slots.finder,
    probeAfterFailure: (instanceId, address) => repair.probeAfterFailure(instanceId, address),
    avoid,
    onStart: () => repair.watch(),
    onEvent: () => repair.recordEvent(),
  });
  ({ handOver } = dispatch);

  return { dispatch, repair, slots, methods: { ...slots.methods, ...probes.methods } };
}
