package serving

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("cold-start", func() experiment.Run { return RunColdStart })
}

// Times and sizes of the cold start.
const (
	coldStartAt     = 20 * time.Second
	coldStartWindow = 40 * time.Second
	coldStartEnd    = coldStartAt + coldStartWindow + 16*time.Second
	coldEndpoints   = 8
	coldEntries     = 7
	zoneCount       = 3
	// minOracleShare is the least goodput of the adaptive gate, as a share of the
	// oracle's.
	minOracleShare = 0.9
)

// engineCase is one kind of engine with an arrival rate.
type engineCase struct {
	name  string
	shape engineShape
	// perSecond is the arrival rate in requests a second. It fills eight warm
	// engines unless the case's name states another load.
	perSecond float64
}

// engineCases returns the kinds of engines that the limiters are measured with.
func engineCases(quick bool) []engineCase {
	cases := []engineCase{{"bears 16, ramp 20 s", defaultShape, 80}}
	queues := defaultShape
	queues.queues = true
	cases = append(cases, engineCase{"queues inside", queues, 80})
	if quick {
		return cases
	}
	flat := defaultShape
	flat.perCall = 0
	cases = append(cases, engineCase{"no slower when full", flat, 95})
	small := defaultShape
	small.warm, small.cold = 6, 2
	cases = append(cases, engineCase{"bears 6", small, 34})
	large := defaultShape
	large.warm, large.cold, large.perCall = 48, 6, defaultShape.perCall/2
	large.perPromptToken, large.promptPerStep = defaultShape.perPromptToken/4, defaultShape.promptPerStep*4
	cases = append(cases, engineCase{"bears 48", large, 230})
	slow := defaultShape
	slow.ramp = time.Minute
	cases = append(cases, engineCase{"ramp 60 s", slow, 80})
	fast := defaultShape
	fast.cold, fast.ramp = 2, 8*time.Second
	cases = append(cases, engineCase{"bears 2 cold, ramp 8 s", fast, 80})
	one := defaultShape
	one.cold = 1
	cases = append(cases, engineCase{"bears 1 cold", one, 80})
	one.ramp = time.Minute
	cases = append(cases, engineCase{"bears 1 cold, ramp 60 s", one, 80})
	// Engines below full load have gates with headroom when the cold start begins.
	cases = append(cases, engineCase{"bears 16, two thirds full", defaultShape, 54})
	return append(cases, engineCase{"no slower, two thirds full", flat, 64})
}

// coldStartLimiters are the compared limiters; the last one is the reference.
var coldStartLimiters = []string{"none", "fixed", "adaptive", oracleLimiter}

// ColdStartRow is the result of one limiter with one kind of engine.
type ColdStartRow struct {
	Engine  string `json:"engine"`
	Limiter string `json:"limiter"`
	// PushedOver counts, for each run, engine collapses under overload.
	PushedOver []int `json:"pushedOver"`
	// Goodput holds, for each run, the calls a second answered within their deadlines.
	Goodput []float64 `json:"goodput"`
	// MedianGoodput is the median of Goodput.
	MedianGoodput float64 `json:"medianGoodput"`
	// OracleShare is the median over runs of the goodput as a share of the oracle's in
	// the same run.
	OracleShare float64 `json:"oracleShare"`
	// FirstTokenP99 is the median over runs of the 99th percentile of the time to the
	// first token, in milliseconds.
	FirstTokenP99 float64 `json:"firstTokenP99Ms"`
}

// ColdStartResult is the result of the experiment.
type ColdStartResult struct {
	Seed uint64         `json:"seed"`
	Runs int            `json:"runs"`
	Rows []ColdStartRow `json:"rows"`
}

// RunColdStart restarts half of the endpoints under load and compares limiters. It
// returns an error if the adaptive one misses a target.
func RunColdStart(ctx context.Context, options experiment.Options) error {
	options = withDefaults(options)
	result := ColdStartResult{Seed: options.Seed, Runs: options.Runs}
	for _, engine := range engineCases(options.Quick) {
		rows, err := coldStartRows(ctx, options, engine)
		if err != nil {
			return err
		}
		result.Rows = append(result.Rows, rows...)
	}
	if err := experiment.WriteResult(options, "cold-start", result); err != nil {
		return err
	}
	if err := result.print(options); err != nil {
		return err
	}
	return result.check()
}

// coldStartRows measures all limiters with one kind of engine.
func coldStartRows(ctx context.Context, options experiment.Options, engine engineCase) ([]ColdStartRow, error) {
	rows := make([]ColdStartRow, len(coldStartLimiters))
	firstTokenP99s := make([][]float64, len(coldStartLimiters))
	for i, limiter := range coldStartLimiters {
		rows[i] = ColdStartRow{Engine: engine.name, Limiter: limiter}
		for run := range options.Runs {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			f, err := coldStartRun(options.Seed+uint64(run), limiter, engine)
			if err != nil {
				return nil, err
			}
			rows[i].PushedOver = append(rows[i].PushedOver, f.collapses())
			rows[i].Goodput = append(rows[i].Goodput, float64(f.tally.total.Answered)/coldStartWindow.Seconds())
			firstTokenP99s[i] = append(firstTokenP99s[i], quantile(f.tally.firstTokens, 99))
		}
	}
	oracleGoodput := rows[len(rows)-1].Goodput
	for i := range rows {
		shares := make([]float64, options.Runs)
		for run := range shares {
			shares[run] = rows[i].Goodput[run] / oracleGoodput[run]
		}
		rows[i].OracleShare = median(shares)
		rows[i].MedianGoodput = median(rows[i].Goodput)
		rows[i].FirstTokenP99 = median(firstTokenP99s[i])
	}
	return rows, nil
}

// coldStartRun simulates one run.
func coldStartRun(seed uint64, limiter string, engine engineCase) (*fleet, error) {
	f, err := newFleet(setup{
		seed: seed, endpoints: coldEndpoints, entries: coldEntries, zones: zoneCount,
		limiter: limiter, picker: "weighted", workload: defaultWorkload(engine.perSecond),
		shapeOf: func(int) engineShape { return engine.shape },
	})
	if err != nil {
		return nil, err
	}
	f.tally.window(coldStartAt, coldStartAt+coldStartWindow)
	f.run(coldStartAt)
	for i, e := range f.endpoints {
		if i%2 == 0 {
			e.engine.restart()
		}
	}
	f.run(coldStartEnd)
	return f, nil
}

// print writes the table.
func (r ColdStartResult) print(options experiment.Options) error {
	title := fmt.Sprintf("Half of %d endpoints cold under full load; seed %d, %d runs, medians", coldEndpoints, r.Seed, r.Runs)
	header := []string{"engine", "gate", "pushed over (each run)", "answered in time /s", "of oracle", "first token p99 ms"}
	var rows [][]string
	for _, row := range r.Rows {
		rows = append(rows, []string{
			row.Engine, row.Limiter, fmt.Sprint(row.PushedOver), fmt.Sprintf("%.1f", row.MedianGoodput),
			fmt.Sprintf("%.3f", row.OracleShare), fmt.Sprintf("%.0f", row.FirstTokenP99),
		})
	}
	return printTable(options.Out, title, header, rows)
}

// check checks the rows of the adaptive limiter against the targets.
func (r ColdStartResult) check() error {
	var c checks
	for _, row := range r.Rows {
		if row.Limiter != "adaptive" {
			continue
		}
		for run, collapses := range row.PushedOver {
			c.expect(collapses == 0, "%s: %d engine collapses in run %d, want 0", row.Engine, collapses, run+1)
		}
		c.expect(row.OracleShare >= minOracleShare, "%s: goodput is %.3f of the oracle's, want at least %.2f", row.Engine, row.OracleShare, minOracleShare)
	}
	return c.err()
}
