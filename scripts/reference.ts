/** Generates the settings reference of the operator documentation. */
import { writeFileSync } from 'node:fs';
import { renderSettingsReference } from '@spoolplank/settings';

writeFileSync('docs/operators/settings-reference.md', renderSettingsReference());
