package serving

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/routing"
)

func init() {
	experiment.Experiments.Register("routing", func() experiment.Run { return RunRouting })
}

// Times and sizes of the routing comparison.
const (
	routingFrom      = 20 * time.Second
	routingWindow    = 40 * time.Second
	routingEnd       = routingFrom + routingWindow + 16*time.Second
	routingColdAt    = 30 * time.Second
	routingEndpoints = 14
	routingRate      = 95.0
	// smallEvery is the interval of endpoints with half the capacity.
	smallEvery = 4
)

// routingPickers are the compared pickers; the last one is under test.
var routingPickers = []string{"random", "round_robin", "least_outstanding", routing.DefaultPicker}

// RoutingRow is the result of one picker.
type RoutingRow struct {
	Picker string `json:"picker"`
	// FirstTokenP50 and FirstTokenP99 are medians over the runs of the percentiles of
	// the time to the first token, in milliseconds.
	FirstTokenP50 float64 `json:"firstTokenP50Ms"`
	FirstTokenP99 float64 `json:"firstTokenP99Ms"`
	// RunsP99 holds the 99th percentile of each run, in milliseconds.
	RunsP99 []float64 `json:"runsP99Ms"`
	// Goodput is the median over the runs of the calls a second answered in time;
	// RunsGoodput holds the value of each run.
	Goodput     float64   `json:"goodput"`
	RunsGoodput []float64 `json:"runsGoodput"`
	Refused     int       `json:"refused"`
	PushedOver  int       `json:"pushedOver"`
	// Attempts is the mean number of attempts a request.
	Attempts float64 `json:"attempts"`
}

// RoutingResult is the result of the experiment.
type RoutingResult struct {
	Seed uint64       `json:"seed"`
	Runs int          `json:"runs"`
	Rows []RoutingRow `json:"rows"`
}

// RunRouting compares pickers with endpoints of two sizes, three of which restart
// cold, with lagged load reports and with lagged and lost cache events. It returns an
// error if the default picker does not beat every baseline.
func RunRouting(ctx context.Context, options experiment.Options) error {
	options = withDefaults(options)
	result := RoutingResult{Seed: options.Seed, Runs: options.Runs}
	result.Rows = make([]RoutingRow, len(routingPickers))
	group, ctx := errgroup.WithContext(ctx)
	for i, picker := range routingPickers {
		group.Go(func() (err error) {
			result.Rows[i], err = routingRow(ctx, options, picker)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if err := experiment.WriteResult(options, "routing", result); err != nil {
		return err
	}
	if err := result.print(options); err != nil {
		return err
	}
	return result.check()
}

// routingRow measures one picker.
func routingRow(ctx context.Context, options experiment.Options, picker string) (RoutingRow, error) {
	row := RoutingRow{Picker: picker}
	var p50 []float64
	attempts, requests := 0, 0
	for run := range options.Runs {
		if err := ctx.Err(); err != nil {
			return row, err
		}
		f, err := routingRun(options.Seed+uint64(run), picker)
		if err != nil {
			return row, err
		}
		p50 = append(p50, quantile(f.tally.firstTokens, 50))
		row.RunsP99 = append(row.RunsP99, quantile(f.tally.firstTokens, 99))
		row.RunsGoodput = append(row.RunsGoodput, float64(f.tally.total.Answered)/routingWindow.Seconds())
		row.Refused += f.tally.total.Refused
		row.PushedOver += f.collapses()
		attempts += f.tally.attempts
		requests += int(f.nextRequest)
	}
	row.FirstTokenP50, row.FirstTokenP99, row.Goodput = median(p50), median(row.RunsP99), median(row.RunsGoodput)
	row.Attempts = ratio(attempts, requests)
	return row, nil
}

// routingRun simulates one run.
func routingRun(seed uint64, picker string) (*fleet, error) {
	f, err := newFleet(setup{
		seed: seed, endpoints: routingEndpoints, entries: coldEntries, zones: zoneCount,
		limiter: "adaptive", picker: picker, workload: defaultWorkload(routingRate), shapeOf: mixedShape,
	})
	if err != nil {
		return nil, err
	}
	f.tally.window(routingFrom, routingFrom+routingWindow)
	f.run(routingColdAt)
	// Restarts one endpoint in each zone.
	for i := range zoneCount {
		f.endpoints[i].engine.restart()
	}
	f.run(routingEnd)
	return f, nil
}

// mixedShape returns half the capacity for every fourth endpoint.
func mixedShape(index int) engineShape {
	shape := defaultShape
	if index%smallEvery == smallEvery-1 {
		shape.warm /= 2
	}
	return shape
}

// print writes the table.
func (r RoutingResult) print(options experiment.Options) error {
	title := fmt.Sprintf("%d endpoints of two sizes, %d turn cold; seed %d, %d runs, medians", routingEndpoints, zoneCount, r.Seed, r.Runs)
	header := []string{"picker", "first token p50 ms", "p99 ms", "answered in time /s", "refused (sum)", "attempts a request", "pushed over"}
	var rows [][]string
	for _, row := range r.Rows {
		rows = append(rows, []string{
			row.Picker, fmt.Sprintf("%.0f", row.FirstTokenP50), fmt.Sprintf("%.0f", row.FirstTokenP99),
			fmt.Sprintf("%.1f", row.Goodput), fmt.Sprint(row.Refused),
			fmt.Sprintf("%.3f", row.Attempts), fmt.Sprint(row.PushedOver),
		})
	}
	return printTable(options.Out, title, header, rows)
}

// check checks that the default picker beats every baseline.
func (r RoutingResult) check() error {
	var c checks
	own := r.Rows[len(r.Rows)-1]
	for _, row := range r.Rows[:len(r.Rows)-1] {
		c.expect(own.FirstTokenP99 < row.FirstTokenP99, "first token p99 %.0f ms, %s has %.0f", own.FirstTokenP99, row.Picker, row.FirstTokenP99)
		c.expect(own.Goodput > row.Goodput, "goodput %.1f a second, %s has %.1f", own.Goodput, row.Picker, row.Goodput)
	}
	return c.err()
}
