import { describeRetrySchedules } from './retryScheduleShards';

describeRetrySchedules(1);
