/** Meaning of each outcome for the caller, and advice for the operator on call. */

interface Meaning {
  readonly meaning: string;
  readonly advice: string;
}

const NOT_RUN = 'It was refused as not run';

const MEANINGS: Readonly<Record<string, Meaning>> = {
  'attempt-broken': {
    meaning: 'No complete and valid response arrived (502). It may have run.',
    advice: 'Check the last upstream, and other attempts that broke off there.',
  },
  'attempt-timed-out': {
    meaning: 'It timed out before a response arrived (504). It may have run.',
    advice: 'Compare the upstream’s other requests of that time: was it slow?',
  },
  'no-room': {
    meaning: `${NOT_RUN} at once: no upstream could have responded in time (503).`,
    advice:
      'Check whether many hosts do the same: then the service is too small. ' +
      '"cyclamenlever customers" shows which customers use it.',
  },
  'unknown-key': {
    meaning: `${NOT_RUN}: its key was missing, or no customer held it in the configuration in force (401).`,
    advice:
      'Check that the caller sends "Authorization: Bearer KEY" and that this version of the ' +
      'configuration has the key; after a rotation, compare the version with the one that ' +
      'removed or added it (docs/operating/customers.md).',
  },
  'over-quota': {
    meaning: `${NOT_RUN}: its customer was over its quota, summed over all hosts (429).`,
    advice:
      'Compare the customer’s use with its quota: "cyclamenlever customers" shows its requests ' +
      'by host. If it keeps to its quota, check the source and the age above.',
  },
  shed: {
    meaning: `${NOT_RUN}: the service was overloaded, and others took precedence (503).`,
    advice:
      'Compare the customer’s priority and share with those of the others: ' +
      '"cyclamenlever customers" shows them. If many are shed, the service is too small.',
  },
  'host-busy': {
    meaning: `${NOT_RUN}: this host had no capacity left for it; another host may (503).`,
    advice:
      'Check whether other hosts refuse too; see cyclamenlever_event_loop_utilization ' +
      'and the link of this host.',
  },
  quarantined: {
    meaning: `${NOT_RUN}: upstreams crashed on this request before (503).`,
    advice:
      'See the "quarantine" and "broken-send" lines of its fingerprint for the upstreams.',
  },
  'waited-too-long': {
    meaning: `${NOT_RUN}: it timed out before it could be sent (503).`,
    advice: 'Check whether its body arrived slowly, or the host was busy.',
  },
  'upstreams-refused': {
    meaning: `${NOT_RUN}: upstreams refused it, and no retry was allowed (503).`,
    advice: 'If they had free slots, they shed load for another reason.',
  },
  'no-upstream': {
    meaning: `${NOT_RUN}: there was no upstream left to try (503).`,
    advice: 'Check which upstreams are registered for the service.',
  },
  'not-ready': {
    meaning: `${NOT_RUN}: the host had no up-to-date configuration, or was shutting down (503).`,
    advice:
      'Look for the events "store", "reader" and "stop" in its log. A host whose data is ' +
      'old answers an unknown key like this, too.',
  },
  'newer-configuration': {
    meaning:
      `${NOT_RUN}: it had no route or key in the version in force, and a newer one was known ` +
      'to be in the store (503).',
    advice:
      'See the "bad-record" lines of the host that reads the store for why it is not in force.',
  },
  'unusable-route': {
    meaning: `${NOT_RUN}: hosts can’t decode the configuration of its route (503).`,
    advice:
      'See the "bad-record" lines of the host that reads the store, and write the route anew.',
  },
  'unknown-route': {
    meaning: 'No route matched in the version in force (404).',
    advice:
      'Compare the host name and the path with the routes of that version, and the position ' +
      'with the end of the store’s log: see "A route that is not served" in ' +
      'docs/operating/on-the-platform.md.',
  },
  'internal-error': {
    meaning: 'An error of the host ended it (500).',
    advice: 'See the "internal-error" line with its id, and report it.',
  },
  'response-truncated': {
    meaning:
      'The upstream broke off a large response; the caller’s connection was closed.',
    advice: 'See whether the upstream ended or the path to it was cut.',
  },
  'response-timed-out': {
    meaning:
      'A large response had not ended at the timeout; the caller’s connection was closed.',
    advice:
      'See whether the upstream stopped sending, or its responses need longer than the route’s timeout.',
  },
  'caller-left': {
    meaning: 'The caller closed its connection before there was a response.',
    advice: 'Compare the time with the timeout of the caller.',
  },
};

const ANSWERED = /^answered-(\d+)$/;

export function meaningOf(outcome: string): Meaning {
  const status = ANSWERED.exec(outcome)?.[1];
  if (status) {
    return {
      meaning: `The upstream’s own response was delivered (${status}).`,
      advice: 'If it was late, see where the time was spent.',
    };
  }
  return (
    MEANINGS[outcome] ?? {
      meaning: `It ended as ${outcome}.`,
      advice: 'docs/operating/on-the-platform.md lists the outcomes.',
    }
  );
}
