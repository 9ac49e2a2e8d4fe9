package serving

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("overload", func() experiment.Run { return RunOverload })
}

// Times, sizes and targets of the overload experiment.
const (
	overloadFrom      = 20 * time.Second
	overloadWindow    = 40 * time.Second
	overloadEnd       = overloadFrom + overloadWindow + 16*time.Second
	overloadEndpoints = 8
	// fullRate is the arrival rate, in requests a second, that fills the warm
	// endpoints.
	fullRate = 80.0
	// overloadFactor is the arrival rate relative to fullRate.
	overloadFactor = 2.0
	// minFirstClass is the least share of requests of the highest priority answered
	// within their deadlines.
	minFirstClass = 0.99
	// minTeamShare is the least part of its fair share that each team must get.
	minTeamShare = 0.8
	// minQuickRejections is the least share of rejections within rejectionBound.
	minQuickRejections = 0.99
)

// overloadVariant is a set of policies.
type overloadVariant struct {
	name      string
	limiter   string
	picker    string
	admission bool
}

var overloadVariants = []overloadVariant{
	{name: "fixed limit, round robin, no admission", limiter: "fixed", picker: "round_robin"},
	{name: "adaptive gate, weighted, no admission", limiter: "adaptive", picker: "weighted"},
	{name: "adaptive gate, weighted, admission", limiter: "adaptive", picker: "weighted", admission: true},
}

// OverloadRow is the result of one variant. InTime, QuickRefusals, RefusalP99 and
// Goodput are medians over the runs; the Worst fields are minimums; NoRetryTime,
// PushedOver and Reasons are sums.
type OverloadRow struct {
	Variant string `json:"variant"`
	// InTime holds, for each class, the share answered within the deadline.
	InTime [core.PriorityCount]float64 `json:"inTime"`
	// WorstFirstClass is the lowest InTime of the highest priority in any run.
	WorstFirstClass float64 `json:"worstFirstClass"`
	// WorstTeamShare is the lowest part of its fair share that a team got in any run.
	WorstTeamShare float64 `json:"worstTeamShare"`
	// QuickRefusals is the share of rejections within 5 ms.
	QuickRefusals float64 `json:"quickRefusals"`
	RefusalP99    float64 `json:"refusalP99Ms"`
	// NoRetryTime counts rejections without a retry-after time.
	NoRetryTime int                 `json:"noRetryTime"`
	Goodput     float64             `json:"goodput"`
	PushedOver  int                 `json:"pushedOver"`
	Reasons     map[core.Reason]int `json:"reasons"`
}

// OverloadResult is the result of the experiment.
type OverloadResult struct {
	Seed uint64        `json:"seed"`
	Runs int           `json:"runs"`
	Rows []OverloadRow `json:"rows"`
}

// overloadWorkload returns a workload of two large teams and eight small ones, one of
// which sends a burst.
func overloadWorkload() workload {
	w := defaultWorkload(fullRate * overloadFactor)
	for i := range w.teams {
		switch {
		case i < 2:
			w.teams[i].share, w.teams[i].weight = 4, 4
		case i == 2:
			w.teams[i].share = 6
		}
	}
	return w
}

// RunOverload offers twice the capacity and measures answers by class and team, and
// rejections. It returns an error if the full set of policies misses a target.
func RunOverload(ctx context.Context, options experiment.Options) error {
	options = withDefaults(options)
	result := OverloadResult{Seed: options.Seed, Runs: options.Runs}
	for _, variant := range overloadVariants {
		row, err := overloadRow(ctx, options, variant)
		if err != nil {
			return err
		}
		result.Rows = append(result.Rows, row)
	}
	if err := experiment.WriteResult(options, "overload", result); err != nil {
		return err
	}
	if err := result.print(options); err != nil {
		return err
	}
	return result.Rows[len(result.Rows)-1].check()
}

// overloadRow measures one variant.
func overloadRow(ctx context.Context, options experiment.Options, variant overloadVariant) (OverloadRow, error) {
	row := OverloadRow{Variant: variant.name, WorstFirstClass: 1, WorstTeamShare: 1, Reasons: map[core.Reason]int{}}
	var inTime [core.PriorityCount][]float64
	var fast, p99, goodput []float64
	for run := range options.Runs {
		if err := ctx.Err(); err != nil {
			return row, err
		}
		f, err := overloadRun(options.Seed+uint64(run), variant)
		if err != nil {
			return row, err
		}
		for class := range core.PriorityCount {
			c := f.tally.classes[class]
			inTime[class] = append(inTime[class], ratio(c.Answered, c.Arrived))
		}
		row.WorstFirstClass = min(row.WorstFirstClass, inTime[0][run])
		row.WorstTeamShare = min(row.WorstTeamShare, worstTeamShare(f))
		row.NoRetryTime += f.tally.noRetryTime
		row.PushedOver += f.collapses()
		for reason, n := range f.tally.reasons {
			row.Reasons[reason] += n
		}
		fast = append(fast, ratio(f.tally.quickRejections, f.tally.total.Refused))
		p99 = append(p99, quantile(f.tally.rejectionTimes, 99))
		goodput = append(goodput, float64(f.tally.total.Answered)/overloadWindow.Seconds())
	}
	for class := range core.PriorityCount {
		row.InTime[class] = median(inTime[class])
	}
	row.QuickRefusals, row.RefusalP99, row.Goodput = median(fast), median(p99), median(goodput)
	return row, nil
}

// overloadRun simulates one run.
func overloadRun(seed uint64, variant overloadVariant) (*fleet, error) {
	f, err := newFleet(setup{
		seed: seed, endpoints: overloadEndpoints, entries: coldEntries, zones: zoneCount,
		limiter: variant.limiter, picker: variant.picker, admission: variant.admission,
		workload: overloadWorkload(), shapeOf: func(int) engineShape { return defaultShape },
	})
	if err != nil {
		return nil, err
	}
	f.tally.window(overloadFrom, overloadFrom+overloadWindow)
	f.run(overloadEnd)
	return f, nil
}

// worstTeamShare returns the lowest part of its fair share that any team got, at most
// 1.
func worstTeamShare(f *fleet) float64 {
	worst := 1.0
	fair := fairShares(f)
	for team, share := range fair {
		if share > 0 {
			worst = min(worst, float64(f.tally.teams[team].Answered)/share)
		}
	}
	return worst
}

// fairShares returns the weighted max-min fair division of the answers among the
// teams: no team's share exceeds its number of requests.
func fairShares(f *fleet) map[core.TeamID]float64 {
	fair := map[core.TeamID]float64{}
	left := float64(f.tally.total.Answered)
	remaining := slices.Clone(f.setup.workload.teams)
	for len(remaining) > 0 {
		weight := 0.0
		for _, team := range remaining {
			weight += float64(team.weight)
		}
		perWeight := left / weight
		var unsatisfied []teamMix
		for _, team := range remaining {
			demand := float64(f.tally.teams[team.name].Arrived)
			if demand <= perWeight*float64(team.weight) {
				fair[team.name] = demand
				left -= demand
				continue
			}
			unsatisfied = append(unsatisfied, team)
		}
		if len(unsatisfied) == len(remaining) {
			for _, team := range remaining {
				fair[team.name] = perWeight * float64(team.weight)
			}
			return fair
		}
		remaining = unsatisfied
	}
	return fair
}

// ratio returns part/whole, 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// print writes the table.
func (r OverloadResult) print(options experiment.Options) error {
	title := fmt.Sprintf("%.0fx overload of %d endpoints; seed %d, %d runs, medians", overloadFactor, overloadEndpoints, r.Seed, r.Runs)
	header := []string{
		"policies", "dispatch in time (worst)", "briefing", "summary", "worst team of its share",
		"refused <5 ms", "refusal p99 ms", "without retry time", "answered /s", "pushed over",
	}
	var rows [][]string
	for _, row := range r.Rows {
		rows = append(rows, []string{
			row.Variant, fmt.Sprintf("%.4f (%.4f)", row.InTime[0], row.WorstFirstClass),
			fmt.Sprintf("%.3f", row.InTime[1]), fmt.Sprintf("%.3f", row.InTime[2]),
			fmt.Sprintf("%.2f", row.WorstTeamShare), fmt.Sprintf("%.4f", row.QuickRefusals),
			fmt.Sprintf("%.1f", row.RefusalP99), fmt.Sprint(row.NoRetryTime),
			fmt.Sprintf("%.1f", row.Goodput), fmt.Sprint(row.PushedOver),
		})
	}
	return printTable(options.Out, title, header, rows)
}

// check checks the row against the targets.
func (r OverloadRow) check() error {
	var c checks
	c.expect(r.WorstFirstClass >= minFirstClass, "%.4f of the first class answered in time, want at least %.2f", r.WorstFirstClass, minFirstClass)
	c.expect(r.WorstTeamShare >= minTeamShare, "a team got %.2f of its fair share, want at least %.2f", r.WorstTeamShare, minTeamShare)
	c.expect(r.QuickRefusals >= minQuickRejections, "%.4f of the rejections within 5 ms, want at least %.2f", r.QuickRefusals, minQuickRejections)
	c.expect(r.NoRetryTime == 0, "%d rejections without a retry-after time, want 0", r.NoRetryTime)
	c.expect(r.PushedOver == 0, "%d engine collapses, want 0", r.PushedOver)
	return c.err()
}
