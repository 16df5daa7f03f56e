import { NAME_PATTERN } from './tree';

export type Role = 'entry' | 'control';

/** Where other VMs and callers reach a VM, and its roles. */
export interface VmAddress {
  readonly vmId: string;
  readonly dataCentre: string;
  readonly host: string;
  /** Port for callers, backend servers and operators. */
  readonly callerPort: number;
  /** Port for the other VMs. */
  readonly peerPort: number;
  readonly roles: readonly Role[];
}

export interface Timings {
  /**
   * Minimum time without a message from the leader before a follower starts an election. A random
   * time of up to the same length is added, so that elections rarely collide.
   */
  readonly electionTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  /** How long a confirmation of the settings by the control group is valid. */
  readonly settingsLeaseMs: number;
  /** How long an announcement of a backend server is valid. */
  readonly announcementTtlMs: number;
  /** How long callers may cache a response of `/v1/addresses`. */
  readonly addressTtlMs: number;
  /** Time-out of a request between VMs. */
  readonly peerTimeoutMs: number;
}

export const DEFAULT_TIMINGS: Timings = {
  electionTimeoutMs: 1000,
  heartbeatIntervalMs: 150,
  settingsLeaseMs: 3000,
  announcementTtlMs: 3000,
  addressTtlMs: 5000,
  peerTimeoutMs: 1500,
};

/** The settings file of one VM. */
export interface VmSettings {
  readonly deployment: string;
  readonly vm: VmAddress;
  /** Folder for persistent state; required for the role `control`. */
  readonly dataFolder?: string;
  /** Key with which VMs sign messages, to prove that they belong to the deployment. */
  readonly sharedKey: string;
  /** SHA-256 digest, in hex, of the bearer token of operators. */
  readonly operatorTokenDigest: string;
  /** SHA-256 digest, in hex, of the bearer token with which backend servers announce themselves. */
  readonly backendServerTokenDigest: string;
  /** All other VMs of the deployment. */
  readonly peers: readonly VmAddress[];
  readonly timings?: Partial<Timings>;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
}

const PORT = { type: 'integer', minimum: 1, maximum: 65_535 };
const DURATION_MS = { type: 'integer', minimum: 10, maximum: 600_000 };

const VM_ADDRESS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['vmId', 'dataCentre', 'host', 'callerPort', 'peerPort', 'roles'],
  properties: {
    vmId: {
      type: 'string',
      pattern: NAME_PATTERN,
      description: 'Name of the VM, unique in the deployment.',
    },
    dataCentre: {
      type: 'string',
      pattern: NAME_PATTERN,
      description: 'Data centre in which the VM runs.',
    },
    host: {
      type: 'string',
      format: 'ip',
      description: 'IP address on which the VM listens and is reached.',
    },
    callerPort: { ...PORT, description: 'TCP port for callers, backend servers and operators.' },
    peerPort: { ...PORT, description: 'TCP port for the other VMs.' },
    roles: {
      type: 'array',
      minItems: 1,
      uniqueItems: true,
      items: { enum: ['entry', 'control'] },
      description: 'Roles of the VM.',
    },
  },
};

/** JSON schema of a VM's settings file. */
export const VM_SETTINGS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: [
    'deployment',
    'vm',
    'sharedKey',
    'operatorTokenDigest',
    'backendServerTokenDigest',
    'peers',
  ],
  properties: {
    deployment: {
      type: 'string',
      pattern: NAME_PATTERN,
      description: 'Name of the deployment; messages from other deployments are refused.',
    },
    vm: VM_ADDRESS_SCHEMA,
    dataFolder: {
      type: 'string',
      minLength: 1,
      description: 'Folder for persistent state; required for the role control.',
    },
    sharedKey: {
      type: 'string',
      minLength: 16,
      maxLength: 256,
      description: 'Key shared by the VMs of the deployment.',
    },
    operatorTokenDigest: {
      type: 'string',
      pattern: '^[0-9a-f]{64}$',
      description: 'SHA-256 digest, in hex, of the bearer token of operators.',
    },
    backendServerTokenDigest: {
      type: 'string',
      pattern: '^[0-9a-f]{64}$',
      description: 'SHA-256 digest, in hex, of the bearer token of backend servers.',
    },
    peers: {
      type: 'array',
      maxItems: 5000,
      items: VM_ADDRESS_SCHEMA,
      description: 'All other VMs of the deployment.',
    },
    timings: {
      type: 'object',
      additionalProperties: false,
      properties: {
        electionTimeoutMs: {
          ...DURATION_MS,
          description:
            'Minimum time without a message from the leader before a follower starts an election; a random time is added.',
        },
        heartbeatIntervalMs: {
          ...DURATION_MS,
          description: 'Interval between the heartbeats of an idle leader.',
        },
        settingsLeaseMs: {
          ...DURATION_MS,
          description: 'How long a confirmation of the settings by the control group is valid.',
        },
        announcementTtlMs: {
          ...DURATION_MS,
          description: 'How long an announcement of a backend server is valid.',
        },
        addressTtlMs: {
          ...DURATION_MS,
          description: 'How long callers may cache a response of /v1/addresses.',
        },
        peerTimeoutMs: { ...DURATION_MS, description: 'Time-out of a request between VMs.' },
      },
    },
    logLevel: {
      enum: ['debug', 'info', 'warn', 'error'],
      description: 'Lowest level that is logged.',
    },
  },
};
