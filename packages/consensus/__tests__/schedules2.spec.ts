import { describeSchedules } from './schedules';

describeSchedules(2);
