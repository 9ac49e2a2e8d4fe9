package quarantine_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// fuzzReader turns bytes into values; it returns zeros at their end.
type fuzzReader struct{ data []byte }

func (r *fuzzReader) byte() byte {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *fuzzReader) int64() int64 {
	var raw [8]byte
	r.data = r.data[copy(raw[:], r.data):]
	return int64(binary.LittleEndian.Uint64(raw[:]))
}

func (r *fuzzReader) text() string {
	return string(make([]byte, int(r.byte())*2)) + string(rune(r.byte()%4+'a'))
}

// records reads records with any ages, counts and lengths.
func (r *fuzzReader) records() []quarantine.Record {
	var records []quarantine.Record
	for len(r.data) > 0 && len(records) < 100 {
		record := quarantine.Record{Service: core.ServiceID(r.text()), Part: core.PromptPart(r.text()), Trials: int(r.int64()), TrialAge: time.Duration(r.int64())}
		for range r.byte() % 40 {
			record.Crashes = append(record.Crashes, quarantine.CrashAge{
				Crash: quarantine.Crash{Endpoint: fleet.EndpointID(r.text()), Boot: int64(r.byte())},
				Age:   time.Duration(r.int64()), Cleared: r.byte()%2 == 0,
			})
		}
		records = append(records, record)
	}
	return records
}

// A record of another process made a gateway panic or grow without bound.
func FuzzLearn(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 3, 0, 1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{200, 1, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0x80, 0, 0, 0, 0, 0, 0, 0, 0x80, 39, 255, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		tracker := quarantine.New(quarantine.Config{})
		records := (&fuzzReader{data}).records()
		tracker.Learn(start, records)
		tracker.Learn(start.Add(time.Second), records)
		var cuts []quarantine.Cut
		for _, record := range records {
			for _, known := range record.Crashes {
				cuts = append(cuts, quarantine.Cut{Service: record.Service, CrashAge: known, Parts: []core.PromptPart{record.Part, "b"}})
			}
		}
		tracker.LearnCuts(start.Add(time.Second), cuts)
		sent := tracker.Records(start.Add(time.Second))
		if len(sent) > 32 {
			t.Fatalf("%d records are sent", len(sent))
		}
		for _, record := range sent {
			if len(record.Crashes) == 0 || len(record.Crashes) > 16 || record.Trials < 0 || record.TrialAge < 0 || len(record.Part) > 256 {
				t.Fatalf("bad record %+v", record)
			}
			for _, known := range record.Crashes {
				if known.Age < 0 {
					t.Fatalf("a crash is in the future: %+v", record)
				}
			}
			parts := []core.PromptPart{record.Part, "b"}
			tracker.MayRepeat(start.Add(time.Second), record.Service, parts)
			if part, is := tracker.Blocked(start.Add(time.Second), record.Service, parts); is {
				tracker.Trial(start.Add(time.Hour), record.Service, part, true)
			}
			tracker.Answered(start.Add(time.Second), record.Service, parts)
			tracker.Crashed(start.Add(time.Second), record.Service, quarantine.Crash{Endpoint: "e"}, [][]core.PromptPart{parts})
		}
	})
}
