package peers

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// EncodeRecords returns the messages that tell other processes the records of prompt parts.
func EncodeRecords(records []quarantine.Record) []*peerpb.PromptPartRecord {
	encoded := make([]*peerpb.PromptPartRecord, 0, len(records))
	for _, record := range records {
		message := &peerpb.PromptPartRecord{
			Service: string(record.Service), Part: string(record.Part), Trials: uint32(record.Trials), TrialAgeMs: milliseconds(record.TrialAge),
		}
		for _, crash := range record.Crashes {
			message.Ends = append(message.Ends, &peerpb.EngineEnd{
				Endpoint: string(crash.Endpoint), Boot: crash.Boot, AgeMs: milliseconds(crash.Age), Cleared: crash.Cleared,
			})
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeRecords returns the records in messages of another process. quarantine.Tracker
// bounds what it learns from them.
func DecodeRecords(encoded []*peerpb.PromptPartRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(encoded))
	for _, message := range encoded {
		record := quarantine.Record{
			Service: core.ServiceID(message.GetService()), Part: core.PromptPart(message.GetPart()),
			Trials: int(message.GetTrials()), TrialAge: time.Duration(message.GetTrialAgeMs()) * time.Millisecond,
		}
		for _, end := range message.GetEnds() {
			record.Crashes = append(record.Crashes, quarantine.CrashAge{
				Crash:   quarantine.Crash{Endpoint: fleet.EndpointID(end.GetEndpoint()), Boot: end.GetBoot()},
				Age:     time.Duration(end.GetAgeMs()) * time.Millisecond,
				Cleared: end.GetCleared(),
			})
		}
		records = append(records, record)
	}
	return records
}

// milliseconds returns a duration in whole milliseconds within the bounds of a message.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
