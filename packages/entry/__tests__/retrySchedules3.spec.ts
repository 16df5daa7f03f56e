import { describeRetrySchedules } from './retryScheduleShards';

describeRetrySchedules(3);
