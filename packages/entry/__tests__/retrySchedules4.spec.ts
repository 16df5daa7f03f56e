import { describeRetrySchedules } from './retryScheduleShards';

describeRetrySchedules(4);
