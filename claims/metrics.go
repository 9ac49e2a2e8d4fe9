package claims

import "expvar"

// Counters over all ledgers of the process.
var (
	executed   = expvar.NewInt("claims_executed")
	storeCalls = expvar.NewInt("claims_store_calls")
	answered   = expvar.NewInt("claims_answered")
	// rejected counts rejected calls by reason.
	rejected = expvar.NewMap("claims_refused")
)

func countReply(r reply) {
	if r.answer != nil {
		answered.Add(1)
		return
	}
	rejected.Add(string(r.refusal.Reason), 1)
}
