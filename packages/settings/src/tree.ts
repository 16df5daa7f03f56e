import { POLICY_SCHEMA } from './policy';
import type { Policy } from './policy';

export interface BackendServerBranch {
  readonly policy?: Partial<Policy>;
}

export interface PipelineBranch {
  readonly policy?: Partial<Policy>;
  readonly backendServers?: Readonly<Record<string, BackendServerBranch>>;
}

export interface ServiceBranch {
  readonly policy?: Partial<Policy>;
  readonly pipelines?: Readonly<Record<string, PipelineBranch>>;
}

export interface OrganisationBranch {
  /** SHA-256 digests, in hex, of the bearer tokens of this organisation. */
  readonly tokenDigests?: readonly string[];
  readonly policy?: Partial<Policy>;
  /** The services that the organisation is permitted to use. */
  readonly services?: Readonly<Record<string, ServiceBranch>>;
}

/** Definition of a service for the whole deployment; organisations refer to it by name. */
export interface ServiceDefinition {
  readonly kind: 'model' | 'plain';
  /** Number of layers of the model; required for kind `model`. */
  readonly layers?: number;
  readonly policy?: Partial<Policy>;
  readonly pipelines?: Readonly<Record<string, PipelineBranch>>;
}

/** The settings of a deployment, which operators change and which apply to all VMs. */
export interface SettingsTree {
  readonly policy?: Partial<Policy>;
  readonly services?: Readonly<Record<string, ServiceDefinition>>;
  readonly organisations?: Readonly<Record<string, OrganisationBranch>>;
}

export const EMPTY_SETTINGS_TREE: SettingsTree = {};

/** Names of branches and VMs: short, and safe in paths and log lines without escaping. */
export const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$';

function mapOf(schema: object) {
  return {
    type: 'object',
    propertyNames: { pattern: NAME_PATTERN },
    additionalProperties: schema,
  };
}

const BACKEND_SERVER_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: { policy: POLICY_SCHEMA },
};

const PIPELINE_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: { policy: POLICY_SCHEMA, backendServers: mapOf(BACKEND_SERVER_SCHEMA) },
};

const SERVICE_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: { policy: POLICY_SCHEMA, pipelines: mapOf(PIPELINE_SCHEMA) },
};

const SERVICE_DEFINITION_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['kind'],
  properties: {
    ...SERVICE_SCHEMA.properties,
    kind: { enum: ['model', 'plain'] },
    layers: { type: 'integer', minimum: 1, maximum: 1000 },
  },
  if: { properties: { kind: { const: 'model' } } },
  then: { required: ['layers'] },
};

const ORGANISATION_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: {
    policy: POLICY_SCHEMA,
    tokenDigests: {
      type: 'array',
      items: { type: 'string', pattern: '^[0-9a-f]{64}$' },
      maxItems: 16,
    },
    services: mapOf(SERVICE_SCHEMA),
  },
};

/** JSON schema of the whole tree. */
export const TREE_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: {
    policy: POLICY_SCHEMA,
    services: mapOf(SERVICE_DEFINITION_SCHEMA),
    organisations: mapOf(ORGANISATION_SCHEMA),
  },
};
