package entry

import (
	"expvar"

	"github.com/zinniaseam/zinniaseam/metrics"
)

// Metrics of the entry.
var (
	// requests counts ended requests by result: answered, or the outcome and reason of
	// the refusal.
	requests = expvar.NewMap("entry_requests")
	// attempts counts the attempts sent to endpoints.
	attempts = expvar.NewInt("entry_attempts")
	// hedges counts second attempts by result: first_won, second_won or none_won.
	// Second attempts that were due but not started are counted as no_room if no
	// endpoint had capacity, and as withheld if the budget or the deadline did not
	// allow them.
	hedges = expvar.NewMap("entry_hedges")
	// cacheEvents counts the updates of the engines' prefix caches: prefixes stored,
	// prefixes evicted, caches emptied, gaps, and updates that arrived late.
	cacheEvents = expvar.NewMap("entry_cache_events")
	// firstDataTime is the time from the start of an attempt to its first data.
	firstDataTime = metrics.NewHistogram("entry_first_data")
	// answerTime is the time from admission to the end of an answered request.
	answerTime = metrics.NewHistogram("entry_whole_answer")
)
