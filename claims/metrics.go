package claims

import "expvar"

// Counters over all ledgers of the process.
var (
	executed   = expvar.NewInt("claims_executed")
	storeCalls = expvar.NewInt("claims_store_calls")
	answered   = expvar.NewInt("claims_answered")
	// refused counts rejected calls by reason.
	refused = expvar.NewMap("claims_refused")
)

func countReply(r reply) {
	if r.answer != nil {
		answered.Add(1)
		return
	}
	refused.Add(string(r.refusal.Reason), 1)
}
