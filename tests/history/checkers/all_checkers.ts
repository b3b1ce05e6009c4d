import type {Checker} from '../history.js';
import {AtMostOnceChecker} from './at_most_once_checker.js';
import {CapacityChecker} from './capacity_checker.js';
import {DrainingChecker} from './draining_checker.js';
import {FailureDomainChecker} from './failure_domain_checker.js';
import {GracefulStopChecker} from './graceful_stop_checker.js';
import {JobsEndChecker} from './jobs_end_checker.js';
import {NotRunChecker} from './not_run_checker.js';
import {ResumeChecker} from './resume_checker.js';
import {SettingsChecker} from './settings_checker.js';
import {SinglePlaceChecker} from './single_place_checker.js';
import {WholeAnswerChecker} from './whole_answer_checker.js';

/** The ten points of the brief, and that all work comes to an end. */
export const ALL_CHECKERS: readonly Checker[] = [
  new CapacityChecker(),
  new SinglePlaceChecker(),
  new ResumeChecker(),
  new FailureDomainChecker(),
  new WholeAnswerChecker(),
  new NotRunChecker(),
  new AtMostOnceChecker(),
  new DrainingChecker(),
  new GracefulStopChecker(),
  new SettingsChecker(),
  new JobsEndChecker(),
];
