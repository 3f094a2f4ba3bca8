import {err, ok} from 'neverthrow';
import {formatLocation} from '../language/index.js';
import type {Command} from './types.js';
import {requireTarget} from './types.js';

/** Marks an upstream as leaving: it gets no new request. */
export const drain: Command = {
  name: 'drain',
  precondition: requireTarget,
  perform: (draft, {target, location}) => {
    if (target.type !== 'upstream') {
      return err({
        kind: 'invalid-value',
        message: `${formatLocation(location)}: only an upstream can be drained, not a ${target.type}.`,
      });
    }
    const {name, service} = target;
    draft.put({type: 'drain', name, service});
    return ok(undefined);
  },
};
