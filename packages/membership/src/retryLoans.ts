/** RPC method of control VMs that lends retries to entries; see `RetryLoanRequest`. */
export const RETRY_LOAN_METHOD = 'retries.lend';
