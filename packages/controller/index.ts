export * from './src/bootstrap';
export * from './src/controlNode';
export * from './src/coreGroup';
export * from './src/engineOperations';
export * from './src/membershipRepair';
export * from './src/placementLoop';
export * from './src/raftTransport';
