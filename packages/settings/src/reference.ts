/** Renders the reference page of all settings from their JSON schemas. */
import { DEFAULT_POLICY, POLICY_SCHEMA } from './policy';
import { DEFAULT_TIMINGS, VM_SETTINGS_SCHEMA } from './vmSettings';

interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly enum?: readonly unknown[];
  readonly format?: string;
  readonly pattern?: string;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly required?: readonly string[];
}

interface Row {
  readonly pointer: string;
  readonly node: SchemaNode;
  readonly isRequired: boolean;
}

function collectRows(node: SchemaNode, pointer: string): readonly Row[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const childPointer = `${pointer}/${name}`;
    const isRequired = node.required?.includes(name) ?? false;
    const childRows = child.items?.properties
      ? collectRows(child.items, `${childPointer}/*`)
      : collectRows(child, childPointer);
    return [{ pointer: childPointer, node: child, isRequired }, ...childRows];
  });
}

function describeRange({ minimum, exclusiveMinimum, maximum }: SchemaNode): string {
  if (exclusiveMinimum !== undefined) return `above ${exclusiveMinimum}, at most ${maximum}`;
  return minimum === undefined ? '' : `${minimum} to ${maximum}`;
}

function describeValue(node: SchemaNode): string {
  const values = node.enum ?? node.items?.enum;
  if (values) return values.map(String).join(', ');
  if (node.format) return 'IP address';
  if (node.pattern) return `text, \`${node.pattern}\``;
  return [node.type ?? '', describeRange(node)].filter((part) => part !== '').join(', ');
}

function renderTable(
  rows: readonly Row[],
  defaults: Readonly<Record<string, unknown>>,
): readonly string[] {
  return [
    '| setting | value | default | meaning |',
    '| --- | --- | --- | --- |',
    ...rows.map(({ pointer, node, isRequired }) => {
      const name = pointer.split('/').at(-1) ?? '';
      const defaultText = Object.hasOwn(defaults, name) ? `\`${String(defaults[name])}\`` : '';
      const value = describeValue(node).replaceAll('|', '\\|');
      return `| \`${pointer}\` | ${value} | ${isRequired ? 'required' : defaultText} | ${node.description ?? ''} |`;
    }),
  ];
}

/** Renders the complete page `docs/operators/settings-reference.md`. */
export function renderSettingsReference(): string {
  return [
    '# Settings reference',
    '',
    'Generated from the schemas by `npm run reference`; CI checks that it is current.',
    '',
    "## A VM's settings file",
    '',
    ...renderTable(collectRows(VM_SETTINGS_SCHEMA, ''), { ...DEFAULT_TIMINGS }),
    '',
    '## Policy of a branch of the settings tree',
    '',
    'Every branch may set these values under `/policy` and inherits those that it does not set. Where several',
    'of these policies set a value, the last one applies: `/policy`, `/services/S/policy`, its pipeline, its',
    'backend server, `/organisations/O/policy`, `/organisations/O/services/S/policy`, its pipeline, its backend server.',
    '',
    ...renderTable(collectRows(POLICY_SCHEMA, ''), { ...DEFAULT_POLICY }),
    '',
    '## Other values of the settings tree',
    '',
    '| place | value | meaning |',
    '| --- | --- | --- |',
    '| `/services/S/kind` | model, plain | Kind of the service; required. |',
    '| `/services/S/layers` | integer, 1 to 1000 | Number of layers; required for a model. |',
    '| `/organisations/O/tokenDigests` | list of SHA-256 in hex | Digests of the bearer tokens of its callers. |',
    '| `/organisations/O/services/S` | a branch | Permits the organisation to use the service. |',
    '',
  ].join('\n');
}
