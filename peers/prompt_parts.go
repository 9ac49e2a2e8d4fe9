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
			message.Ends = append(message.Ends, encodeCrash(crash))
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
			record.Crashes = append(record.Crashes, decodeCrash(end))
		}
		records = append(records, record)
	}
	return records
}

// EncodeCuts returns the messages that tell agents the cuts.
func EncodeCuts(cuts []quarantine.Cut) []*peerpb.EndedParts {
	encoded := make([]*peerpb.EndedParts, 0, len(cuts))
	for _, cut := range cuts {
		message := &peerpb.EndedParts{Service: string(cut.Service), End: encodeCrash(cut.CrashAge)}
		for _, part := range cut.Parts {
			message.Parts = append(message.Parts, string(part))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeCuts returns the cuts in messages of another process. quarantine.Tracker bounds what it
// learns from them.
func DecodeCuts(encoded []*peerpb.EndedParts) []quarantine.Cut {
	cuts := make([]quarantine.Cut, 0, len(encoded))
	for _, message := range encoded {
		cut := quarantine.Cut{Service: core.ServiceID(message.GetService()), CrashAge: decodeCrash(message.GetEnd())}
		for _, part := range message.GetParts() {
			cut.Parts = append(cut.Parts, core.PromptPart(part))
		}
		cuts = append(cuts, cut)
	}
	return cuts
}

func encodeCrash(crash quarantine.CrashAge) *peerpb.EngineEnd {
	return &peerpb.EngineEnd{Endpoint: string(crash.Endpoint), Boot: crash.Boot, AgeMs: milliseconds(crash.Age), Cleared: crash.Cleared, Doubt: uint32(crash.Doubt)}
}

func decodeCrash(end *peerpb.EngineEnd) quarantine.CrashAge {
	return quarantine.CrashAge{
		Crash:   quarantine.Crash{Endpoint: fleet.EndpointID(end.GetEndpoint()), Boot: end.GetBoot()},
		Age:     time.Duration(end.GetAgeMs()) * time.Millisecond,
		Cleared: end.GetCleared(),
		Doubt:   quarantine.Doubt(min(end.GetDoubt(), uint32(quarantine.DoubtAlone))),
	}
}

// milliseconds returns a duration in whole milliseconds within the bounds of a message.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
