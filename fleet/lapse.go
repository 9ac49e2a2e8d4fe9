package fleet

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/metastore"
)

const (
	// reregistrationGrace is how long an endpoint is kept whose entry may have expired in an
	// outage of the store. Live endpoints register again within two seconds of the store's
	// recovery.
	reregistrationGrace = 2 * time.Second
	// lapseIntervals is the number of renewal intervals after which an entry expires.
	lapseIntervals = 3
	// renewalSlack is how much later than expected an endpoint may renew its entry, as a
	// fraction of the interval.
	renewalSlack = 0.25
	// maxDepartedShare is the share of the endpoints up to which missing entries are taken for
	// those of endpoints that have left if nothing else tells.
	maxDepartedShare = 0.25
)

// RenewalInterval is about the time between two renewals of an endpoint's entry in the store.
type RenewalInterval time.Duration

// MinLapse returns the shortest time without the store after which the entry of a live endpoint
// can have expired.
func (r RenewalInterval) MinLapse() time.Duration {
	return time.Duration((lapseIntervals - 1 - renewalSlack) * float64(r))
}

// MaxLapse returns the time without the store after which all entries have expired that expire
// in an outage.
func (r RenewalInterval) MaxLapse() time.Duration {
	return time.Duration((lapseIntervals + 1) * float64(r))
}

// keepExpired keeps the endpoints whose entries may have expired in an outage for
// reregistrationGrace, except those whose address has been taken over. All others without an
// entry have left.
func (t *Tracker) keepExpired(before, next *View, outage metastore.Outage) {
	missing := missingEndpoints(before, next)
	if len(missing) == 0 {
		return
	}
	evidence := t.lapseEvidence(before, next, len(missing), outage)
	kept := 0
	for _, endpoint := range missing {
		_, waiting := t.missing[endpoint.ID]
		if !waiting && !evidence.mayHaveExpired(endpoint) {
			continue
		}
		kept++
		lapsed := *endpoint
		lapsed.Unregistered = true
		next.Endpoints[lapsed.ID] = &lapsed
		if !waiting {
			t.missing[lapsed.ID] = t.now().Add(reregistrationGrace)
		}
	}
	t.log.Info("Endpoints without an entry after the store was unavailable.", "missing", len(missing), "known", len(before.Endpoints), "kept", kept,
		"failed", outage.Failed, "rewound", outage.Rewound, "awayAtLeastMs", outage.AtLeast.Milliseconds(), "awayAtMostMs", outage.AtMost.Milliseconds())
}

// lapseEvidence is what tells an entry that has expired in an outage of the store from one that
// its endpoint has removed.
type lapseEvidence struct {
	// none and all are set if no entry can have expired, and if all may have.
	none, all bool
	// renewedIn are the zones in which an entry has outlasted the outage. It is nil if that
	// proves nothing.
	renewedIn map[core.ZoneID]bool
	// few is set if only few entries are missing.
	few bool
}

// lapseEvidence compares the views before and after an outage.
//
// Load pattern: endpoints leave while watches are cut or refused, with the store there for
// everybody else. An entry expires only if its endpoint could not renew it for lapseIntervals.
// After a shorter outage, all missing entries were removed by their endpoints. In a longer one
// all entries expire that do so at all, or only those of a zone that was cut off: then a
// neighbor's entry that is still the same shows that the store was there. Between the two, some
// entries have expired and others not yet.
func (t *Tracker) lapseEvidence(before, next *View, missing int, outage metastore.Outage) lapseEvidence {
	switch {
	case outage.Rewound:
		// The copy lacks the entries that were written last.
		return lapseEvidence{all: true}
	case outage.AtMost < t.renewal.MinLapse():
		return lapseEvidence{none: true}
	}
	evidence := lapseEvidence{few: float64(missing) <= maxDepartedShare*float64(len(before.Endpoints))}
	if !outage.Failed || outage.AtLeast >= t.renewal.MaxLapse() {
		evidence.renewedIn = map[core.ZoneID]bool{}
		for id, endpoint := range next.Endpoints {
			if known := before.Endpoints[id]; known != nil && known.Registered == endpoint.Registered && known.Boot == endpoint.Boot && !endpoint.Unregistered {
				evidence.renewedIn[endpoint.Zone] = true
			}
		}
	}
	return evidence
}

// mayHaveExpired reports whether the entry of an endpoint may have expired although the endpoint
// is alive.
func (e lapseEvidence) mayHaveExpired(endpoint *Endpoint) bool {
	switch {
	case e.none, e.renewedIn[endpoint.Zone]:
		return false
	case e.all:
		return true
	default:
		return !e.few
	}
}

// missingEndpoints returns the endpoints of before that next lacks, except those whose
// address has been taken over.
func missingEndpoints(before, next *View) []*Endpoint {
	taken := make(map[string]bool, len(next.Endpoints))
	for _, endpoint := range next.Endpoints {
		taken[endpoint.Address] = endpoint.Address != ""
	}
	var missing []*Endpoint
	for id, endpoint := range before.Endpoints {
		if _, registered := next.Endpoints[id]; !registered && !taken[endpoint.Address] {
			missing = append(missing, endpoint)
		}
	}
	return missing
}
