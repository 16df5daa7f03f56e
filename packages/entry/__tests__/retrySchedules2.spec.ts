import { describeRetrySchedules } from './retryScheduleShards';

describeRetrySchedules(2);
