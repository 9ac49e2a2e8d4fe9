package agent

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// recordRepeat is how often unchanged records of prompt parts are sent to a gateway, since
// gateways ignore records that may have waited while they were suspended.
const recordRepeat = 3 * time.Second

// learnParts applies what a gateway knows of prompt parts and passes records that are new on to
// all gateways. memory is 0 if the gateway does not send its records to this agent.
func (a *Agent) learnParts(records []*peerpb.PromptPartRecord, ended []*peerpb.EndedParts, memory time.Duration) {
	if len(records)+len(ended) == 0 && memory == 0 || !a.pauses.RanFor(settleTime) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	if memory > 0 {
		a.partsMemory.Learn(now, memory)
	}
	changed := a.promptParts.LearnCuts(now, peers.DecodeCuts(ended))
	if a.promptParts.Learn(now, peers.DecodeRecords(records)) || changed {
		a.publish(a.status)
	}
}

// recordsDue returns the records of prompt parts if they must be sent now, nil otherwise. The
// caller must hold a.mu.
func (f *follower) recordsDue(now time.Time) []quarantine.Record {
	if f.agent.promptParts.Version() == f.sentRecords && now.Sub(f.recordsAt) < recordRepeat {
		return nil
	}
	if records := f.agent.promptParts.Records(boottime.Now()); len(records) > 0 {
		return records
	}
	return nil
}
