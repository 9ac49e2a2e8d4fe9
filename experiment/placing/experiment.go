package placing

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("placing", func() experiment.Run { return RunExperiment })
}

// sevenGateways are the uneven caller shares of seven gateways behind a load
// balancer that hashes callers.
var sevenGateways = []float64{1, 1.3, 0.8, 1.2, 0.7, 1.1, 0.9}

// manyGateways returns the caller shares of a large deployment with 34 gateways.
func manyGateways() []float64 {
	shares := make([]float64, 34)
	for i := range shares {
		shares[i] = 0.6 + float64(i%5)*0.2
	}
	return shares
}

// Scenarios returns the scenarios of the measurement.
func Scenarios() []Scenario {
	full := []Step{{0, 24}}
	usual := []Step{{0, 218}}
	return []Scenario{
		{Name: "usual load", Engines: full, Load: usual, Length: 20 * time.Second},
		{Name: "a third of the engines lost", Engines: []Step{{0, 24}, {6 * time.Second, 16}}, Load: usual, Length: 24 * time.Second},
		{Name: "burst of 1.7", Engines: full, Load: []Step{{0, 218}, {6 * time.Second, 370}, {9 * time.Second, 218}}, Length: 18 * time.Second},
		{Name: "engines change version", Engines: full, Load: usual, Length: 18 * time.Second, Change: &VersionChange{
			At: 6 * time.Second, StoredAfter: 2300 * time.Millisecond, First: 2400 * time.Millisecond, Last: 7200 * time.Millisecond, Announced: true,
		}},
		{Name: "half of the engines away for 4 s", Engines: []Step{{0, 24}, {6 * time.Second, 12}, {10 * time.Second, 24}}, Load: usual, Length: 20 * time.Second},
	}
}

// SharingMode is one way to share engine slots between gateways.
type SharingMode struct {
	Name               string
	Undivided, Lending bool
}

// sharingModes are the modes that the measurement compares.
var sharingModes = []SharingMode{{Name: "shared", Undivided: true}, {Name: "divided"}, {Name: "divided, lent", Lending: true}}

// Row is the result of one scenario with one sharing mode.
type Row struct {
	Scenario string  `json:"scenario"`
	Gateways int     `json:"gateways"`
	Way      string  `json:"way"`
	Share    float64 `json:"answeredShare"`
	Total    Count   `json:"total"`
	// FirstEvent is the 95th percentile of the times to the first event, in seconds.
	FirstEvent float64 `json:"firstEventP95"`
	Queued     float64 `json:"queuedInEngines"`
	Starts     int     `json:"maxStartsPerSecond"`
	Borrowed   int     `json:"borrowed"`
}

// RunExperiment runs each scenario with 7 and with 34 gateways in every sharing
// mode, and writes the results.
func RunExperiment(ctx context.Context, options experiment.Options) error {
	var rows []Row
	scenarios := Scenarios()
	if options.Quick {
		scenarios = scenarios[:2]
	}
	for _, scenario := range scenarios {
		for _, shares := range [][]float64{sevenGateways, manyGateways()} {
			for _, mode := range sharingModes {
				if err := ctx.Err(); err != nil {
					return err
				}
				scenario.GatewayShares, scenario.Undivided, scenario.Lending = shares, mode.Undivided, mode.Lending
				rows = append(rows, row(scenario, mode, Run(scenario, options.Seed)))
			}
		}
	}
	if err := experiment.WriteResult(options, "placing", rows); err != nil {
		return err
	}
	return printRows(options, rows)
}

func row(scenario Scenario, mode SharingMode, tally *Tally) Row {
	return Row{
		Scenario: scenario.Name, Gateways: len(scenario.GatewayShares), Way: mode.Name,
		Share: tally.Total.Share(), Total: tally.Total, FirstEvent: tally.FirstEvent(0.95).Seconds(), Queued: tally.QueuedShare(), Starts: tally.MaxStarts, Borrowed: tally.Borrowed,
	}
}

func printRows(options experiment.Options, rows []Row) error {
	w := tabwriter.NewWriter(options.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "load\tgateways\tslots\tanswered\tcallers\tleft\tfailed\tunserved\trejected\tafter a wait\tfirst event p95\tqueued in engines\tstarts/s\tborrowed")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f s\t%.3f\t%d\t%d\n", r.Scenario, r.Gateways, r.Way, r.Share, r.Total.Asked,
			r.Total.Left, r.Total.Failed, r.Total.Unserved, r.Total.Refused, r.Total.RefusedAfterWait, r.FirstEvent, r.Queued, r.Starts, r.Borrowed)
	}
	return w.Flush()
}
