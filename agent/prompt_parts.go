package agent

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// recordRepeat is how often unchanged records of prompt parts are sent to a gateway, since
// gateways ignore records that may have waited while they were suspended.
const recordRepeat = 3 * time.Second

// learnRecords applies a gateway's records of prompt parts and passes new ones on to all
// gateways.
func (a *Agent) learnRecords(encoded []*peerpb.PromptPartRecord) {
	if len(encoded) == 0 || !a.pauses.RanFor(settleTime) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.promptParts.Learn(boottime.Now(), peers.DecodeRecords(encoded)) {
		a.publish(a.status)
	}
}

// addRecords adds the records of prompt parts to a status if they are due. The caller must
// hold a.mu.
func (f *follower) addRecords(now time.Time, status *peerpb.EngineNews) {
	version := f.agent.promptParts.Version()
	if version == f.sentRecords && now.Sub(f.recordsAt) < recordRepeat {
		return
	}
	records := f.agent.promptParts.Records(boottime.Now())
	if len(records) == 0 {
		return
	}
	status.PromptParts = peers.EncodeRecords(records)
	f.sentRecords, f.recordsAt = version, now
}
