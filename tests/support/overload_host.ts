/** Simulates a host's part in overload control. */

import type {AdmissionControl} from '../../src/decisions/overload/index.js';
import {
  OPEN_ADMISSION,
  OverloadControl,
  OverloadNode,
  PlanTable,
} from '../../src/decisions/overload/index.js';
import type {EventLoop} from '../../src/emulator/event_loop.js';
import type {Random} from '../../src/time/index.js';

export class OverloadHost {
  readonly plans: PlanTable;
  readonly control: AdmissionControl;
  readonly node: OverloadNode;
  isCutOff = false;
  /** Whether callers no longer reach it. */
  isDown = false;
  parent: OverloadHost | undefined;
  readonly followers: OverloadHost[] = [];

  constructor(
    readonly address: string,
    hasPlans: boolean,
    loop: EventLoop,
    random: Random,
    onDue: (host: OverloadHost) => void,
    freeShare: () => number,
  ) {
    this.plans = new PlanTable(loop);
    const control = new OverloadControl({
      plans: this.plans,
      isEnabled: () => true,
      freeShare,
      onNoRoom: () => {
        this.node.noteNoRoom();
        onDue(this);
      },
      clock: loop,
      random,
    });
    this.control = hasPlans ? control : OPEN_ADMISSION;
    this.node = new OverloadNode(address, {
      demand: control,
      plans: this.plans,
      neighbours: () => ({
        parent: this.parent?.address,
        followers: this.followers.map(one => one.address),
      }),
      clock: loop,
    });
  }
}
