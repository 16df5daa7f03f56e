/** Writes the settings reference. */
import { writeFileSync } from 'node:fs';
import { renderSettingsReference } from '@spoolplank/settings';

writeFileSync('docs/operators/settings-reference.md', renderSettingsReference());
