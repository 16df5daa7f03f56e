/**
 * The facts that an entry publishes about itself with each exchange: its member state, its load,
 * and the engines that it suspects. Facts are records that all VMs replicate by gossip.
 */
import { FACT_KEYS } from '@spoolplank/membership';
import type {
  FactTable,
  FactUpdate,
  LoadFact,
  MemberFact,
  SystemFact,
} from '@spoolplank/membership';

export interface SelfFactsOptions {
  readonly table: FactTable<SystemFact>;
  /** Identifies this incarnation of the process. */
  readonly run: string;
  readonly vmId: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly peerPort: number;
  readonly state: () => MemberFact['state'];
  readonly inFlight: () => LoadFact['inFlight'];
  /** Recent suspicions of this entry, which are still published with each exchange. */
  readonly listSuspicions: () => readonly FactUpdate<SystemFact>[];
}

export interface SelfFacts {
  /** The facts to publish with the next exchange, under a new sequence number. */
  list(): readonly FactUpdate<SystemFact>[];
  /** The load that was published last. */
  readonly publishedLoad: LoadFact['inFlight'];
}

export function createSelfFacts(options: SelfFactsOptions): SelfFacts {
  const { table, run, vmId, host, dataCentre, callerAddress, peerPort } = options;
  const memberKey = FACT_KEYS.member(host, run);
  const loadKey = FACT_KEYS.load(host, run);
  let sequence = 0;
  let publishedLoad: LoadFact['inFlight'] = {};

  function toUpdate(key: string, body: SystemFact): FactUpdate<SystemFact> {
    return { key, sequence, ageMs: 0, body };
  }

  return {
    get publishedLoad() {
      return publishedLoad;
    },
    list() {
      sequence += 1;
      publishedLoad = options.inFlight();
      const state = options.state();
      const member: MemberFact = {
        kind: 'member',
        vmId,
        dataCentre,
        host,
        role: 'entry',
        callerAddress,
        peerPort,
        state,
      };
      table.put(memberKey, sequence, member);
      return [
        toUpdate(memberKey, member),
        toUpdate(loadKey, { kind: 'load', inFlight: publishedLoad }),
        ...options.listSuspicions(),
      ];
    },
  };
}
