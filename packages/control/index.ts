export * from './src/claimState';
export * from './src/commands';
export * from './src/controlState';
export * from './src/documentState';
export * from './src/leaseState';
export * from './src/logClock';
export * from './src/settingsState';
