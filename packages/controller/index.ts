export * from './src/controlNode';
export * from './src/groupMember';
export * from './src/engineOperations';
export * from './src/groupWatch';
export * from './src/placementLoop';
export * from './src/raftTransport';
export * from './src/settings/controlRole';
export * from './src/settings/settingsService';
