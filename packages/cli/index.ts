export { createVmContext } from './src/vm/vmContext';
export { startVm } from './src/vm/vm';
