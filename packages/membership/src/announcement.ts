/**
 * Announcements, by which a backend server makes its services or its model engine known to the VMs.
 */
import { Ajv } from 'ajv';
import type { ValidateFunction } from 'ajv';
import { SpoolplankError } from '@spoolplank/shared';

/** A network link to another engine, as measured by the announcing engine. */
export interface EngineLink {
  readonly to: string;
  readonly delayMs: number;
  readonly bytesPerS: number;
}

/** A model engine: a backend server that computes some of the layers of a model. */
export interface EngineDescription {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly acceleratorKind: string;
  /** First and last loaded layer, both inclusive. */
  readonly firstLayer: number;
  readonly lastLayer: number;
  readonly maxBatch: number;
  /** Duration of one step with one item. */
  readonly stepBaseMs: number;
  /** Additional duration of a step for each further item in it. */
  readonly stepPerItemMs: number;
  /**
   * Whether the engine rejects messages of a session whose fencing number is lower than one that it
   * has received before. Fencing numbers increase with each attempt to run the session, so messages
   * of an attempt that has been superseded have no effect.
   */
  readonly isFencingChecked: boolean;
  readonly links: readonly EngineLink[];
}

/** Load as last measured by the backend server. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
}

/** Announcement that a backend server sends periodically. */
export interface Announcement {
  readonly name: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  /** Increases with each start of the backend server. */
  readonly incarnation: number;
  /** Increases with each announcement within one incarnation. */
  readonly sequence: number;
  /** `leaving`: the backend server accepts no new work and will exit. */
  readonly state: 'ready' | 'leaving';
  /**
   * Names of the plain services that the server provides. A single server answers a request of a
   * plain service, whereas a request to a model passes through a chain of engines.
   */
  readonly services: readonly string[];
  /** Present if the backend server is a model engine. */
  readonly engine?: EngineDescription;
  readonly load: ReportedLoad;
}

const NAME = { type: 'string', pattern: '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$' };
const COUNT = { type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER };
const MAX_LINKS = 256;

const ANNOUNCEMENT_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: [
    'name',
    'dataCentre',
    'host',
    'port',
    'incarnation',
    'sequence',
    'state',
    'services',
    'load',
  ],
  properties: {
    name: NAME,
    dataCentre: NAME,
    host: { type: 'string', maxLength: 64, minLength: 2 },
    port: { type: 'integer', minimum: 1, maximum: 65_535 },
    incarnation: COUNT,
    sequence: COUNT,
    state: { enum: ['ready', 'leaving'] },
    services: { type: 'array', maxItems: 64, items: NAME },
    load: {
      type: 'object',
      additionalProperties: false,
      required: ['running', 'queued'],
      properties: { running: COUNT, queued: COUNT },
    },
    engine: {
      type: 'object',
      additionalProperties: false,
      required: [
        'model',
        'version',
        'adapters',
        'acceleratorKind',
        'firstLayer',
        'lastLayer',
        'maxBatch',
        'stepBaseMs',
        'stepPerItemMs',
        'isFencingChecked',
        'links',
      ],
      properties: {
        model: NAME,
        version: NAME,
        adapters: { type: 'array', maxItems: 256, items: NAME },
        acceleratorKind: NAME,
        firstLayer: { type: 'integer', minimum: 0, maximum: 999 },
        lastLayer: { type: 'integer', minimum: 0, maximum: 999 },
        maxBatch: { type: 'integer', minimum: 1, maximum: 100_000 },
        stepBaseMs: { type: 'number', minimum: 0 },
        stepPerItemMs: { type: 'number', minimum: 0 },
        isFencingChecked: { type: 'boolean' },
        links: {
          type: 'array',
          maxItems: MAX_LINKS,
          items: {
            type: 'object',
            additionalProperties: false,
            required: ['to', 'delayMs', 'bytesPerS'],
            properties: {
              to: NAME,
              delayMs: { type: 'number', minimum: 0 },
              bytesPerS: { type: 'number', exclusiveMinimum: 0 },
            },
          },
        },
      },
    },
  },
};

let validate: ValidateFunction | undefined;

/**
 * Validates an announcement received over the network.
 *
 * @throws SpoolplankError `bad-request` with a finding for each violation of the schema, or for a
 * layer range that ends before it begins.
 */
export function parseAnnouncement(value: unknown): Announcement {
  validate ??= new Ajv({ allErrors: true, strict: false }).compile(ANNOUNCEMENT_SCHEMA);
  if (!validate(value)) {
    const findings = (validate.errors ?? []).map(({ instancePath, message }) => ({
      source: 'announcement',
      pointer: instancePath,
      problem: message ?? 'not valid',
    }));
    throw new SpoolplankError('bad-request', {
      detail: 'The announcement is invalid.',
      findings,
    });
  }
  const announcement = value as Announcement;
  const { engine } = announcement;
  if (engine && engine.firstLayer > engine.lastLayer) {
    const finding = {
      source: 'announcement',
      pointer: '/engine/lastLayer',
      problem: 'is below firstLayer',
    };
    throw new SpoolplankError('bad-request', {
      detail: 'The announcement is invalid.',
      findings: [finding],
    });
  }
  return announcement;
}

/** Whether `a` is a later announcement of the same backend server than `b`. */
export function isNewer(a: Announcement, b: Announcement): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}
