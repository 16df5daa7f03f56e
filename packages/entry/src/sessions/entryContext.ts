/** Dependencies shared by the request handlers of an entry VM. */
import type { BackendLoadTable, BackoffTable, RetryBudget } from '@spoolplank/routing';
import type { VmContext } from '@spoolplank/vm';
import type { ClaimsClient } from './claimsClient';
import type { ControlClient } from './controlClient';
import type { DirectorySync } from './directorySync';
import type { AdmissionControl } from './admissionControl';
import type { SessionLimits } from './sessionLimits';
import type { SessionStore } from './sessionStore';
import type { SettingsMirror } from './settingsMirror';

export interface EntryContext extends VmContext {
  readonly control: ControlClient;
  readonly mirror: SettingsMirror;
  readonly directorySync: DirectorySync;
  readonly admissionControl: AdmissionControl;
  readonly claims: ClaimsClient;
  readonly loads: BackendLoadTable;
  /** Backoffs that backend servers requested from this VM, by `backoffKeyOf`. */
  readonly backoffs: BackoffTable;
  /** Rate limits that backend servers announced in their answers. */
  readonly limits: SessionLimits;
  readonly retryBudget: RetryBudget;
  readonly sessions: SessionStore;
  /** Whether new requests are accepted: the settings are fresh, and no shutdown is in progress. */
  readonly isTaking: () => boolean;
  readonly isShuttingDown: () => boolean;
}
