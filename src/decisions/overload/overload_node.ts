/**
 * Decides when a host reports the demand of its subtree, and computes the plans if it is
 * the root of the distribution tree.
 *
 * Returns actions for the caller and performs none itself.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ServiceDemand} from './demand.js';
import {sumDemands} from './demand.js';
import type {AdmissionPlan, PlanPhase} from './plan.js';
import type {PlanTable} from './plan_table.js';
import {ServicePlanner} from './planner.js';

/** Interval of reports and plans while a service is short of capacity. */
const REPORT_INTERVAL_MS: Milliseconds = 100;
/** Refusals that occur together are reported together. */
const BATCH_MS: Milliseconds = 10;
/** A host forwards the reports of its followers sooner than its own, but not each. */
const MIN_FORWARD_INTERVAL_MS: Milliseconds = 30;
/** Several reports are lost in a row only if a follower is gone or frozen. */
const REPORT_LIFETIME_MS: Milliseconds = 500;

/** What a host measures itself. */
export interface LocalDemand {
  measure(): readonly ServiceDemand[];
  hasRefusals(service: string): boolean;
}

/** Where this host is in the distribution tree. */
export interface TreeNeighbours {
  /** The host that is followed; undefined at the root. */
  readonly parent: string | undefined;
  readonly followers: readonly string[];
}

export type OverloadAction =
  | {
      readonly kind: 'report';
      readonly to: string;
      readonly demand: ServiceDemand;
    }
  | {readonly kind: 'announce'; readonly plan: AdmissionPlan};

export interface OverloadNodeParts {
  readonly demand: LocalDemand;
  readonly plans: PlanTable;
  readonly neighbours: () => TreeNeighbours;
  readonly clock: Clock;
}

interface FollowerReport {
  readonly demand: ServiceDemand;
  readonly at: Milliseconds;
}

/** Newest report of each follower. */
type ReportsByFollower = Map<string, FollowerReport>;

export class OverloadNode {
  private readonly reports = new Map<string, ReportsByFollower>();
  private readonly planners = new Map<string, ServicePlanner>();
  private readonly sentAt = new Map<string, Milliseconds>();
  /** Phases of the newest plans. */
  private readonly phases = new Map<string, PlanPhase>();
  private sequence = 0;
  private nextAt: Milliseconds = Infinity;

  /** @param address of this host for its peers */
  constructor(
    private readonly address: string,
    private readonly parts: OverloadNodeParts,
  ) {}

  /** When `tick` is to be called next; Infinity while no service is short of capacity. */
  get dueAt(): Milliseconds {
    return this.nextAt;
  }

  /** A request of this host was refused for lack of capacity. */
  noteNoRoom(): void {
    this.scheduleWithin(BATCH_MS);
  }

  /**
   * A plan has arrived. If it is the first one, hosts report at once, and those with
   * followers when these have reported.
   */
  notePlan({service, phase}: AdmissionPlan): void {
    if (this.phases.get(service) !== phase) {
      this.phases.set(service, phase);
      this.sentAt.delete(service);
    }
    const {followers} = this.parts.neighbours();
    this.scheduleWithin(followers.length > 0 ? BATCH_MS : 0);
  }

  noteReport(follower: string, demand: ServiceDemand): void {
    const {service} = demand;
    const reports: ReportsByFollower = this.reports.get(service) ?? new Map();
    reports.set(follower, {demand, at: this.parts.clock.now()});
    this.reports.set(service, reports);
    this.scheduleWithin(BATCH_MS);
  }

  tick(): readonly OverloadAction[] {
    const {clock, demand} = this.parts;
    const now = clock.now();
    this.nextAt = Infinity;
    this.dropOldReports();
    const own = new Map(demand.measure().map(one => [one.service, one]));
    const {parent, followers} = this.parts.neighbours();
    if (parent !== undefined) {
      // Another host plans now. If this one is the root again, it starts from its reports.
      this.planners.clear();
    }
    const services = this.activeServices(own);
    const actions = services.flatMap(service =>
      this.isDue(service, now, followers)
        ? this.act(service, own.get(service), parent, followers)
        : [],
    );
    return actions;
  }

  private act(
    service: string,
    own: ServiceDemand | undefined,
    parent: string | undefined,
    followers: readonly string[],
  ): readonly OverloadAction[] {
    const now = this.parts.clock.now();
    this.sentAt.set(service, now);
    this.scheduleWithin(REPORT_INTERVAL_MS);
    const reports = [...(this.reports.get(service) ?? [])]
      .filter(([follower]) => followers.includes(follower))
      .map(([, report]) => report.demand);
    const demand = sumDemands(service, own ? [own, ...reports] : reports);
    if (parent !== undefined) {
      return [{kind: 'report', to: parent, demand}];
    }
    const outline = this.plannerOf(service).update(demand, now);
    if (!outline) {
      return [];
    }
    this.sequence += 1;
    const {address: planner, sequence} = this;
    const plan = {...outline, planner, sequence, ageMs: 0};
    return [{kind: 'announce', plan}];
  }

  /** Services for which there are refusals in the subtree, or a plan. */
  private activeServices(
    own: ReadonlyMap<string, ServiceDemand>,
  ): readonly string[] {
    const {plans} = this.parts;
    const known = [...own.keys(), ...this.reports.keys(), ...plans.services];
    return [...new Set(known)].filter(
      service =>
        plans.find(service) !== undefined ||
        this.planners.get(service)?.isActive === true ||
        this.parts.demand.hasRefusals(service) ||
        this.hasReportedRefusals(service),
    );
  }

  private hasReportedRefusals(service: string): boolean {
    const reports = [...(this.reports.get(service)?.values() ?? [])];
    return reports.some(({demand}) => demand.refusals > 0);
  }

  private isDue(
    service: string,
    now: Milliseconds,
    followers: readonly string[],
  ): boolean {
    // A plan is sent to all hosts, so that it isn't renewed with each report.
    const isPlanning = this.planners.get(service)?.isShedding ?? false;
    const intervalMs =
      followers.length > 0 && !isPlanning
        ? MIN_FORWARD_INTERVAL_MS
        : REPORT_INTERVAL_MS;
    const dueAt = (this.sentAt.get(service) ?? -Infinity) + intervalMs;
    if (now < dueAt) {
      this.scheduleWithin(dueAt - now);
    }
    return now >= dueAt;
  }

  private dropOldReports(): void {
    const oldest = this.parts.clock.now() - REPORT_LIFETIME_MS;
    for (const [service, reports] of this.reports) {
      for (const [follower, {at}] of reports) {
        if (at < oldest) {
          reports.delete(follower);
        }
      }
      if (reports.size === 0) {
        this.reports.delete(service);
      }
    }
  }

  private plannerOf(service: string): ServicePlanner {
    const known = this.planners.get(service);
    if (known) {
      return known;
    }
    const planner = new ServicePlanner(service);
    this.planners.set(service, planner);
    return planner;
  }

  private scheduleWithin(ms: Milliseconds): void {
    this.nextAt = Math.min(this.nextAt, this.parts.clock.now() + ms);
  }
}
