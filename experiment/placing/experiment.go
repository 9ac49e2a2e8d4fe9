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

// sevenGateways and manyGateways get uneven parts of the callers, as those of a
// balancer that hashes callers do.
var sevenGateways = []float64{1, 1.3, 0.8, 1.2, 0.7, 1.1, 0.9}

// Scenarios are the loads that the measurement replays.
func Scenarios() []Scenario {
	full := []Step{{0, 24}}
	usual := []Step{{0, 218}}
	return []Scenario{
		{Name: "usual load", Engines: full, Load: usual, Length: 20 * time.Second},
		{Name: "a third of the engines lost", Engines: []Step{{0, 24}, {6 * time.Second, 16}}, Load: usual, Length: 24 * time.Second},
		{Name: "burst of 1.7", Engines: full, Load: []Step{{0, 218}, {6 * time.Second, 370}, {9 * time.Second, 218}}, Length: 18 * time.Second},
		{Name: "half of the engines away for 4 s", Engines: []Step{{0, 24}, {6 * time.Second, 12}, {10 * time.Second, 24}}, Load: usual, Length: 20 * time.Second},
	}
}

// Row is the result of one scenario with one way of placing.
type Row struct {
	Scenario  string  `json:"scenario"`
	Gateways  int     `json:"gateways"`
	Undivided bool    `json:"undivided"`
	Share     float64 `json:"share"`
	Total     Count   `json:"total"`
	Queued    float64 `json:"queuedInEngines"`
}

// RunExperiment replays the scenarios with and without divided slots.
func RunExperiment(ctx context.Context, options experiment.Options) error {
	var rows []Row
	scenarios := Scenarios()
	if options.Quick {
		scenarios = scenarios[:2]
	}
	for _, scenario := range scenarios {
		for _, shares := range [][]float64{{1}, sevenGateways} {
			for _, undivided := range []bool{true, false} {
				if err := ctx.Err(); err != nil {
					return err
				}
				scenario.GatewayShares, scenario.Undivided = shares, undivided
				rows = append(rows, row(scenario, Run(scenario, options.Seed)))
			}
		}
	}
	if err := experiment.WriteResult(options, "placing", rows); err != nil {
		return err
	}
	return printRows(options, rows)
}

func row(scenario Scenario, tally *Tally) Row {
	return Row{
		Scenario: scenario.Name, Gateways: len(scenario.GatewayShares), Undivided: scenario.Undivided,
		Share: tally.Total.Share(), Total: tally.Total, Queued: tally.QueuedShare(),
	}
}

func printRows(options experiment.Options, rows []Row) error {
	w := tabwriter.NewWriter(options.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "load\tgateways\tslots\tworth\tasked\ton time\tlate\trefused\tagain\tqueued in engines")
	for _, r := range rows {
		slots := "divided"
		if r.Undivided {
			slots = "shared"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.3f\n", r.Scenario, r.Gateways, slots, r.Share,
			r.Total.Asked, r.Total.OnTime, r.Total.Late, r.Total.Refused, r.Total.RefusedAgain, r.Queued)
	}
	return w.Flush()
}
