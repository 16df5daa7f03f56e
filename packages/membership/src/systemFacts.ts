/** Types, keys and retention times of the facts that the VMs of a deployment replicate. */
import { parseInstanceId } from './backendIdentity';
import type { Fact, FactTable } from './factTable';

/** A process of the system. Its key contains the run, so a restarted process is a new member. */
export interface MemberFact {
  readonly kind: 'member';
  readonly vmId: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly role: 'entry' | 'control';
  /** Address on which callers connect; only entries have one. */
  readonly callerAddress?: string;
  /** Port on which other VMs connect. */
  readonly peerPort?: number;
  /** Identity in the replicated log; only control VMs with a disk have one. */
  readonly replicaId?: string;
  readonly state: 'starting' | 'ready' | 'leaving';
}

/**
 * Requests in flight, keyed by the first engine of their chain. A chain is a sequence of engines
 * that together run all layers of a model. An entry publishes its own; a
 * control VM publishes the sum over the entries that report to it.
 */
export interface LoadFact {
  readonly kind: 'load';
  readonly inFlight: Readonly<Record<string, number>>;
}

/** A half-open range of layers: `endLayer` is excluded. */
export interface LayerRange {
  readonly firstLayer: number;
  readonly endLayer: number;
}

/** State of a model engine. */
export interface EngineFact {
  readonly acceleratorKind: string;
  /** Layers loaded by the engine; null when there are none. */
  readonly held: LayerRange | null;
  readonly version: number;
}

/** The last announcement of a backend server. */
export interface BackendFact {
  readonly kind: 'backend';
  /** Unique to one incarnation of the backend server; see `BackendIdentity`. */
  readonly instanceId: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'ready' | 'draining' | 'gone';
  readonly slots: number;
  readonly engine?: EngineFact;
}

/**
 * An engine that does not respond to other processes. The fact has the sequence of the engine's
 * last known announcement, so the next announcement of the engine clears it.
 */
export interface SuspicionFact {
  readonly kind: 'suspicion';
  readonly instanceId: string;
}

/** Slowdown of an engine relative to other engines of its kind; published periodically. */
export interface StragglerFact {
  readonly kind: 'straggler';
  readonly instanceId: string;
  /** 1 for an engine that runs at the usual speed of its kind. */
  readonly slowdown: number;
}

/** Capacity and load of the chains of a data centre for one service, in requests of usual size. */
export interface ServiceCapacity {
  readonly capacity: number;
  readonly inFlight: number;
  /** Requests that wait for a slot, the right to run one request on a chain, in the data centre. */
  readonly waiting: number;
}

/** Chain capacity of a data centre, as published by the VM that allocates its slots. */
export interface CapacityFact {
  readonly kind: 'capacity';
  readonly dataCentre: string;
  readonly services: Readonly<Record<string, ServiceCapacity>>;
  /** Rate limits in requests per second that servers reported, by instance; absent without any. */
  readonly limitsPerS?: Readonly<Record<string, number>>;
}

/**
 * How a request content is linked to the crash of a backend server. `run`: the server had started
 * to execute it. `attempt`: a request with it was in flight, without proof that execution started.
 */
export type CrashEvidence = 'run' | 'attempt';

/** A request content, the incarnation of the backend server that received it, and the evidence. */
export interface CrashIdentity {
  /** Digest of the request content. */
  readonly content: string;
  readonly instanceId: string;
  /**
   * Number of earlier attempts that broke off under the same instance id. It can exceed 0 because
   * a restarted server receives requests before it has announced its new incarnation.
   */
  readonly turn: number;
  readonly evidence: CrashEvidence;
}

/**
 * The crash of an incarnation of a backend server shortly after it received a request content.
 * Each VM publishes what it observed; crashes are counted by distinct keys, so the same crash
 * reported by several VMs counts once and no VM maintains a counter.
 */
export interface CrashFact extends CrashIdentity {
  readonly kind: 'crash';
  /** How long the server had been executing the content. */
  readonly ranMs: number;
  /** Keys of the parts of its prompt that the content shares with others; absent without any. */
  readonly parts?: readonly string[];
  /** Time from the crash to this publication, where they differ; absent otherwise. */
  readonly agedMs?: number;
}

/**
 * An attempt that is in flight or has broken off while it is unknown whether the backend server
 * crashed. If the server turns out to have crashed, other VMs count the crash against the content,
 * even when the VM that published this fact is gone.
 */
export interface OpenRunFact extends CrashIdentity {
  readonly kind: 'open-run';
  readonly address: string;
  readonly ranMs: number;
  /** As in `CrashFact`. */
  readonly parts?: readonly string[];
  /** Wall-clock time of publication; it makes each further attempt at one incarnation distinct. */
  readonly wallMs: number;
}

/**
 * Clears a content or a part of prompts of all crashes before, because it was executed successfully
 * or by decision of an operator.
 */
export interface ClearanceFact {
  readonly kind: 'clearance';
  /** Digest of the content, or key of the part. */
  readonly content: string;
  /**
   * How long before the publication the successful run was sent: only crashes before that are
   * cleared. Absent when all crashes before the publication are.
   */
  readonly ranMs?: number;
  readonly reason: 'served' | 'operator';
  /** Wall-clock time of publication; it makes each clearance distinct from the previous one. */
  readonly wallMs: number;
}

/** An incarnation of a backend server that announced in a response that it accepts no new work. */
export interface LeavingFact {
  readonly kind: 'leaving';
  readonly instanceId: string;
}

export type SystemFact =
  | MemberFact
  | LoadFact
  | BackendFact
  | SuspicionFact
  | StragglerFact
  | CapacityFact
  | CrashFact
  | OpenRunFact
  | ClearanceFact
  | LeavingFact;

export type SystemFactKind = SystemFact['kind'];

/** Keys under which facts are stored. */
export const FACT_KEYS = {
  member: (host: string, run: string) => `member/${host}/${run}`,
  load: (host: string, run: string) => `load/${host}/${run}`,
  /** Key of the member that published a load. */
  memberOfLoad: (loadKey: string) => loadKey.replace(/^load/, 'member'),
  /** All incarnations of a backend server share one row, which holds the latest incarnation. */
  backend: (instanceId: string) => `backend/${parseInstanceId(instanceId).serverId}`,
  /** The key contains the host, as two VMs may briefly both act as allocator of a data centre. */
  capacity: (dataCentre: string, host: string) => `capacity/${dataCentre}/${host}`,
  straggler: (instanceId: string) => `straggler/${instanceId}`,
  suspicion: (instanceId: string) => `suspicion/${instanceId}`,
  leaving: (instanceId: string) => `leaving/${instanceId}`,
  /** The key contains the evidence, so that an attempt never overwrites the proof of a run. */
  crash: ({ evidence, content, instanceId, turn }: CrashIdentity) =>
    `crash/${evidence}/${content}/${instanceId}/${turn}`,
  openRun: ({ evidence, content, instanceId, turn }: CrashIdentity) =>
    `open-run/${evidence}/${content}/${instanceId}/${turn}`,
  clearance: (content: string) => `clearance/${content}`,
} as const;

/** Ten times the longest possible delay of an announcement. */
const RETENTION_MS = 60_000;
/**
 * Retention of crashes and clearances: well beyond the minutes within which callers repeat a
 * request. For a content that keeps being sent, the fact is renewed before it expires.
 */
export const CRASH_RETENTION_MS = 1_800_000;

/**
 * A restart that no probe noticed shows in the server's next announcement, which follows within one
 * or two seconds and may be delayed by some seconds more. A crash after that has another cause.
 */
export const OPEN_RUN_RETENTION_MS = 8000;

/**
 * A leaving server usually exits within seconds. The retention also covers a server that takes
 * minutes, as it would count as available again once the fact is removed.
 */
const LEAVING_RETENTION_MS = 600_000;

const RETENTIONS_MS: Readonly<Partial<Record<SystemFactKind, number>>> = {
  crash: CRASH_RETENTION_MS,
  'open-run': OPEN_RUN_RETENTION_MS,
  clearance: CRASH_RETENTION_MS,
  leaving: LEAVING_RETENTION_MS,
};

/** Time in milliseconds after which a fact that is not renewed is removed. */
export function retentionMsOf({ kind }: SystemFact): number {
  return RETENTIONS_MS[kind] ?? RETENTION_MS;
}

type FactLookup = Pick<FactTable<SystemFact>, 'find'>;

/** Whether an incarnation announced that it accepts no new work; this is never revoked. */
export function isLeaving(table: FactLookup, instanceId: string): boolean {
  return table.find(FACT_KEYS.leaving(instanceId)) !== undefined;
}

/** An incarnation leaves only once, so the fact has a single version. */
const LEAVING_VERSION = 1;

/** Publishes that an incarnation accepts no new work; false when this is already known. */
export function publishLeaving(
  table: Pick<FactTable<SystemFact>, 'put'>,
  instanceId: string,
): boolean {
  return table.put(FACT_KEYS.leaving(instanceId), LEAVING_VERSION, { kind: 'leaving', instanceId });
}

/**
 * Sequence of the fact that withdraws an incarnation of a backend server. It is the highest
 * sequence, so that no delayed announcement of the incarnation supersedes the withdrawal.
 */
export const FINAL_SEQUENCE = Number.MAX_SAFE_INTEGER;

/** The table row of a backend server. */
export type BackendRow = Fact<SystemFact> & { readonly body: BackendFact };

function findLatestIncarnation(table: FactLookup, instanceId: string): BackendRow | undefined {
  const fact = table.find(FACT_KEYS.backend(instanceId));
  return fact?.body.kind === 'backend' ? { ...fact, body: fact.body } : undefined;
}

/** The row of exactly this incarnation; undefined when it is unknown or has been superseded. */
export function findBackend(table: FactLookup, instanceId: string): BackendRow | undefined {
  const row = findLatestIncarnation(table, instanceId);
  return row?.body.instanceId === instanceId ? row : undefined;
}

/** Whether an incarnation has ended because its backend server has restarted. */
export function hasRestarted(table: FactLookup, instanceId: string): boolean {
  const row = findLatestIncarnation(table, instanceId);
  return row !== undefined && row.incarnation > parseInstanceId(instanceId).incarnation;
}

/** Whether a changed fact shows that a backend server has restarted. */
export function isRestart(body: SystemFact, before: SystemFact | undefined): boolean {
  if (body.kind !== 'backend' || before?.kind !== 'backend') return false;
  return body.instanceId !== before.instanceId;
}
