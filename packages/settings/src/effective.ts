import { formatPointer } from '@spoolplank/shared';
import { DEFAULT_POLICY } from './policy';
import type { Policy } from './policy';
import type { SettingsTree } from './tree';

/** A branch of the tree. `pipeline` requires `service`, and `backendServer` requires `pipeline`. */
export interface BranchPath {
  readonly organisation?: string;
  readonly service?: string;
  readonly pipeline?: string;
  readonly backendServer?: string;
}

/** A policy with every value resolved, and the origin of each value. */
export interface EffectivePolicy {
  readonly policy: Policy;
  /** JSON pointer of the branch that set the value, or `default`. */
  readonly origins: Readonly<Record<keyof Policy, string>>;
}

interface PolicySource {
  readonly origin: string;
  readonly policy: Partial<Policy> | undefined;
}

type ServiceBranches = Readonly<
  Record<
    string,
    {
      readonly policy?: Partial<Policy>;
      readonly pipelines?: Readonly<
        Record<
          string,
          {
            readonly policy?: Partial<Policy>;
            readonly backendServers?: Readonly<
              Record<string, { readonly policy?: Partial<Policy> }>
            >;
          }
        >
      >;
    }
  >
>;

function collectServiceSources(
  prefix: readonly string[],
  services: ServiceBranches | undefined,
  path: BranchPath,
): readonly PolicySource[] {
  if (path.service === undefined) return [];
  const service = services?.[path.service];
  const serviceSegments = [...prefix, 'services', path.service];
  const serviceSources: PolicySource[] = [
    { origin: formatPointer(serviceSegments), policy: service?.policy },
  ];
  if (path.pipeline === undefined) return serviceSources;
  const pipeline = service?.pipelines?.[path.pipeline];
  const pipelineSegments = [...serviceSegments, 'pipelines', path.pipeline];
  serviceSources.push({ origin: formatPointer(pipelineSegments), policy: pipeline?.policy });
  if (path.backendServer === undefined) return serviceSources;
  serviceSources.push({
    origin: formatPointer([...pipelineSegments, 'backendServers', path.backendServer]),
    policy: pipeline?.backendServers?.[path.backendServer]?.policy,
  });
  return serviceSources;
}

/** Returns the policies that apply to a branch, most general first; see docs/design/settings.md. */
function collectPolicySources(tree: SettingsTree, path: BranchPath): readonly PolicySource[] {
  const policySources: PolicySource[] = [{ origin: '', policy: tree.policy }];
  policySources.push(...collectServiceSources([], tree.services, path));
  if (path.organisation === undefined) return policySources;
  const organisation = tree.organisations?.[path.organisation];
  const organisationSegments = ['organisations', path.organisation];
  policySources.push({ origin: formatPointer(organisationSegments), policy: organisation?.policy });
  policySources.push(...collectServiceSources(organisationSegments, organisation?.services, path));
  return policySources;
}

/** Resolves the policy of a branch: each value comes from the most specific branch that sets it. */
export function resolvePolicy(tree: SettingsTree, path: BranchPath): EffectivePolicy {
  const policy: Record<string, unknown> = { ...DEFAULT_POLICY };
  const origins: Record<string, string> = {};
  Object.keys(DEFAULT_POLICY).forEach((key) => {
    origins[key] = 'default';
  });
  collectPolicySources(tree, path).forEach((source) => {
    Object.entries(source.policy ?? {}).forEach(([key, value]) => {
      policy[key] = value;
      origins[key] = source.origin === '' ? '/' : source.origin;
    });
  });
  return {
    policy: policy as unknown as Policy,
    origins: origins as Readonly<Record<keyof Policy, string>>,
  };
}
