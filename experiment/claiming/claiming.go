package claiming

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("claims", func() experiment.Run { return Run })
}

const (
	storeLatency = 3 * time.Millisecond
	homeCount    = 3
	service      = core.ServiceID("dispatch-desk")
	fullTime     = time.Minute
	quickTime    = 3 * time.Second
	closeTimeout = 5 * time.Second
	// maxMicros is the largest latency in the histogram; larger ones are recorded as
	// this value.
	maxMicros       = 60_000_000
	histogramDigits = 3
)

var claimRates = []float64{1, 10, 100, 300}

// ErrDuplicateExecution is returned by Run when a key was executed more than once.
var ErrDuplicateExecution = errors.New("claims: a key was executed twice")

// variant is one ledger configuration.
type variant struct {
	name  string
	build claims.Construct
}

// variants returns the registered ledgers, and the grouped one with different write
// rates.
func variants() ([]variant, error) {
	var list []variant
	for _, name := range []string{"per_request", "grouped", "grouped_ordered"} {
		build, err := claims.Ledgers.New(name)
		if err != nil {
			return nil, err
		}
		list = append(list, variant{name: name, build: build})
	}
	for _, rate := range []float64{2, 5, 1000} {
		config := claims.Config{WriteRate: rate, ProcessWriteRate: 1000}
		list = append(list, variant{
			name:  fmt.Sprintf("grouped, %g writes/s a partition", rate),
			build: func(options claims.Options) claims.Ledger { return claims.NewGrouped(options, config) },
		})
	}
	return list, nil
}

// Row is the result of one variant at one claim rate.
type Row struct {
	Ledger string `json:"ledger"`
	// ClaimsPerSecond is the rate of calls, each with a unique key.
	ClaimsPerSecond float64 `json:"claimsPerSecond"`
	Claims          int     `json:"claims"`
	// Refused counts rejected calls, Doubles keys that were executed more than once.
	Refused int `json:"refused"`
	Doubles int `json:"doubles"`
	// AddedP50MS and AddedP99MS are percentiles of the latency that claiming adds to
	// a call.
	AddedP50MS     float64 `json:"addedP50Ms"`
	AddedP99MS     float64 `json:"addedP99Ms"`
	WritesPerClaim float64 `json:"writesPerClaim"`
	ReadsPerClaim  float64 `json:"readsPerClaim"`
	BytesPerClaim  float64 `json:"bytesPerClaim"`
}

// Result is the machine-readable result.
type Result struct {
	Seed           uint64  `json:"seed"`
	Runs           int     `json:"runs"`
	Seconds        float64 `json:"seconds"`
	StoreLatencyMS float64 `json:"storeLatencyMs"`
	Homes          int     `json:"homes"`
	Rows           []Row   `json:"rows"`
}

// Run measures the added latency and the store writes of each ledger. It returns an
// error that wraps ErrDuplicateExecution if a key was executed more than once.
func Run(ctx context.Context, options experiment.Options) error {
	list, err := variants()
	if err != nil {
		return err
	}
	duration := fullTime
	if options.Quick {
		duration = quickTime
	}
	runs := max(1, options.Runs)
	result := Result{
		Seed: options.Seed, Runs: runs, Seconds: duration.Seconds(),
		StoreLatencyMS: float64(storeLatency.Milliseconds()), Homes: homeCount,
	}
	for _, v := range list {
		for _, rate := range claimRates {
			result.Rows = append(result.Rows, Row{Ledger: v.name, ClaimsPerSecond: rate})
		}
	}
	samples := make([][]Row, len(result.Rows))
	for run := range runs {
		if err := runAll(ctx, options.Seed+uint64(run), list, duration, samples); err != nil {
			return err
		}
	}
	for i := range result.Rows {
		result.Rows[i] = medianRow(samples[i])
	}
	printTable(options, result)
	if err := experiment.WriteResult(options, "claims", result); err != nil {
		return err
	}
	return checkDuplicates(result.Rows)
}

// runAll measures all variants at all rates in parallel, each with its own store,
// and appends the rows to samples.
func runAll(ctx context.Context, seed uint64, list []variant, duration time.Duration, samples [][]Row) error {
	var running sync.WaitGroup
	for i, v := range list {
		for j, rate := range claimRates {
			index := i*len(claimRates) + j
			running.Add(1)
			go func() {
				defer running.Done()
				row := measure(ctx, seed, v, rate, duration)
				samples[index] = append(samples[index], row)
			}()
		}
	}
	running.Wait()
	return ctx.Err()
}

// meter collects the outcomes of the calls of one measurement.
type meter struct {
	mu        sync.Mutex
	added     *hdrhistogram.Histogram
	rejected  int
	executed  map[string]int
	completed int
}

// measure sends calls with exponentially distributed gaps, each to the home of its
// key.
func measure(ctx context.Context, seed uint64, v variant, rate float64, duration time.Duration) Row {
	store := newLatencyStore(storeLatency)
	ledgers := map[core.VMID]claims.Ledger{}
	var live []core.VMID
	for i := range homeCount {
		vm := core.VMID(fmt.Sprintf("desk-%d", i))
		live = append(live, vm)
		ledgers[vm] = v.build(claims.Options{Self: vm, Incarnation: 1, Store: store})
	}
	random := rand.New(rand.NewPCG(seed, uint64(rate)))
	m := &meter{added: hdrhistogram.New(1, maxMicros, histogramDigits), executed: map[string]int{}}
	var callers sync.WaitGroup
	next := time.Now()
	end := next.Add(duration)
	for ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		key := newKey()
		ledger := ledgers[claims.Home(service, key, live)]
		callers.Add(1)
		go func() {
			defer callers.Done()
			m.call(ctx, ledger, key)
		}()
	}
	callers.Wait()
	closeAll(ledgers)
	return m.row(v.name, rate, store)
}

// newKey returns a time-ordered key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (m *meter) call(ctx context.Context, ledger claims.Ledger, key string) {
	began := time.Now()
	call := claims.Call{Service: service, Key: key, Fingerprint: core.DigestOf([]byte(key))}
	_, refusal := ledger.Run(ctx, call, func(context.Context) (*claims.Answer, *core.Refusal) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.executed[key]++
		return &claims.Answer{Status: 200, Body: []byte(`{"confirmed":true}`)}, nil
	})
	added := time.Since(began)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completed++
	if refusal != nil {
		m.rejected++
		return
	}
	_ = m.added.RecordValue(min(added.Microseconds(), maxMicros))
}

func closeAll(ledgers map[core.VMID]claims.Ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, ledger := range ledgers {
		_ = ledger.Close(ctx)
	}
}

func (m *meter) row(name string, rate float64, store *latencyStore) Row {
	count := float64(max(1, m.completed))
	row := Row{
		Ledger: name, ClaimsPerSecond: rate, Claims: m.completed, Refused: m.rejected,
		AddedP50MS:     float64(m.added.ValueAtQuantile(50)) / 1000,
		AddedP99MS:     float64(m.added.ValueAtQuantile(99)) / 1000,
		WritesPerClaim: float64(store.writes.Load()) / count,
		ReadsPerClaim:  float64(store.reads.Load()) / count,
		BytesPerClaim:  float64(store.bytes.Load()) / count,
	}
	for _, times := range m.executed {
		if times > 1 {
			row.Doubles++
		}
	}
	return row
}

// medianRow returns the median of each latency and cost, and the sum of each count.
func medianRow(rows []Row) Row {
	out := rows[0]
	medianOf := func(of func(Row) float64) float64 {
		values := make([]float64, 0, len(rows))
		for _, row := range rows {
			values = append(values, of(row))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	out.AddedP50MS = medianOf(func(r Row) float64 { return r.AddedP50MS })
	out.AddedP99MS = medianOf(func(r Row) float64 { return r.AddedP99MS })
	out.WritesPerClaim = medianOf(func(r Row) float64 { return r.WritesPerClaim })
	out.ReadsPerClaim = medianOf(func(r Row) float64 { return r.ReadsPerClaim })
	out.BytesPerClaim = medianOf(func(r Row) float64 { return r.BytesPerClaim })
	out.Claims, out.Refused, out.Doubles = 0, 0, 0
	for _, row := range rows {
		out.Claims += row.Claims
		out.Refused += row.Refused
		out.Doubles += row.Doubles
	}
	return out
}

func printTable(options experiment.Options, result Result) {
	fmt.Fprintf(options.Out, "claims: seed %d, %d runs of %.0f s, store latency %.0f ms, %d homes\n",
		result.Seed, result.Runs, result.Seconds, result.StoreLatencyMS, result.Homes)
	table := tabwriter.NewWriter(options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ledger\tclaims/s\tclaims\trefused\tdoubles\tadded p50 ms\tadded p99 ms\twrites/claim\treads/claim\tbytes/claim")
	for _, r := range result.Rows {
		fmt.Fprintf(table, "%s\t%g\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\n", r.Ledger, r.ClaimsPerSecond, r.Claims,
			r.Refused, r.Doubles, r.AddedP50MS, r.AddedP99MS, r.WritesPerClaim, r.ReadsPerClaim, r.BytesPerClaim)
	}
	table.Flush()
}

// checkDuplicates returns an error for the first row with a duplicate execution.
func checkDuplicates(rows []Row) error {
	for _, row := range rows {
		if row.Doubles > 0 {
			return fmt.Errorf("%w: %d keys with %s at %g claims/s", ErrDuplicateExecution, row.Doubles, row.Ledger, row.ClaimsPerSecond)
		}
	}
	return nil
}
