/** Dependencies and types shared by the components of an entry. */
import type { EventLog, Metrics } from '@spoolplank/node';
import type { BackendLoadTable, DecisionSettings, Organisation, Route } from '@spoolplank/routing';
import type { Clock, Random } from '@spoolplank/shared';
import type { RetryBudgets } from './admission/retryBudgets';
import type { AnswerEnd } from './dispatch/answerEnd';
import type { EndCheck } from './dispatch/answerCompletion';
import type { AnswerMemory } from './dispatch/answerMemory';
import type { BackendOperations } from './dispatch/backendOperations';
import type { CallerAnswer, CallerRequest } from './callerRequest';
import type { CrashReporter } from './quarantine/crashReporter';
import type { ServerLimits } from './limits/serverLimits';
import type { Quarantine } from './quarantine/quarantine';
import type { RoutingView } from './gossip/routingView';
import type { ServerNotices } from './dispatch/serverNotices';

export interface EntryContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly operations: BackendOperations;
  readonly loads: BackendLoadTable;
  /** The retry budget of a service. */
  readonly budgetOf: RetryBudgets;
  /** Contents that must not run again, because they crashed backend servers. */
  readonly quarantine: Quarantine;
  /** Limits the memory for answers that have not ended. */
  readonly answerMemory: AnswerMemory;
  /** Checks whether an answer that has ended is complete. */
  readonly checkEnd: EndCheck;
  /** Records requests that are sent, and runs whose backend server may have crashed. */
  readonly crashes: CrashReporter;
  /** Backoffs and departures that backend servers announced to this VM. */
  readonly notices: ServerNotices;
  /** Rate limits that backend servers named to this VM. */
  readonly limits: ServerLimits;
  /** Switches and bounds of the decisions under load. */
  readonly decisions: DecisionSettings;
  /** Age of the facts, which are the records that VMs replicate by gossip, in milliseconds. */
  readonly factsAgeMs: () => number;
}

/** A request that was admitted and is to be dispatched to a service. */
export interface AdmittedRequest {
  readonly request: CallerRequest;
  readonly answer: CallerAnswer;
  readonly route: Route;
  readonly service: string;
  readonly organisation: Organisation | null;
  /** Time from the caller's first attempt to the arrival of this request. */
  readonly callerAgeMs: number;
  /** Lower bound of the time at which the caller sent the request, on the clock `steadyMs`. */
  readonly sentAfterMs: number;
  /** Deadline set by the caller or the operator, on this VM's clock. */
  readonly deadlineAtMs: number;
}

/** On which chain a stream was given a slot, and by whom; for the log. */
export interface SlotDecision {
  /** VM that granted the slot; null when the entry selected the chain itself. */
  readonly grantedBy: string | null;
  readonly dataCentre: string;
  /** Sum of the sizes in flight on the chain when it was chosen, and its capacity. */
  readonly inFlight: number;
  readonly capacity: number;
}

/** How a request ended, for the log and the metrics. */
export interface RequestEnd {
  /**
   * `served`: the response of a backend server was passed on. `failed-there`: it was passed on too,
   * but is an error of that server: a 5xx status, or any status above 299 for a stream. `refused`:
   * the request has not run. `failed`: it may have run, and the caller was sent an error of this
   * system instead. `broken-off`: the response was cut after a part of it.
   */
  readonly outcome: 'served' | 'failed-there' | 'refused' | 'failed' | 'broken-off' | 'caller-left';
  readonly status: number;
  readonly attempts: number;
  /** Backend server, or engines of the path, of the last attempt. */
  readonly servedBy: readonly string[];
  readonly firstByteMs: number | null;
  /** The slot decision of the last attempt. */
  readonly slot?: SlotDecision | null;
  /** Time spent waiting for a slot at a backend server, over all attempts. */
  readonly waitedMs?: number;
  /** The longest pause between two forwarded events of a stream. */
  readonly longestPauseMs?: number;
  /** How the last answer ended that was read; null before there was one. */
  readonly answerEnd?: AnswerEnd | null;
}
