// Command standin-engine is a stand-in for a model engine, for tests and measurements.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/settings"
	"github.com/zinniaseam/zinniaseam/standin"
	"github.com/zinniaseam/zinniaseam/standin/engine"
)

// options holds the settings of the program.
type options struct {
	config    engine.Config
	staging   int
	tolerance int
	gapRate   int
	seed      int
	preload   string
	warm      bool
}

const percent = 100

func (o *options) register(set *settings.Set) {
	c := &o.config
	set.Int(&c.MaxBatch, "max-batch", engine.DefaultMaxBatch, 1, 4096, "streams", "streams that run at once on a warm engine")
	set.Int(&c.ColdBatch, "cold-batch", engine.DefaultColdBatch, 1, 4096, "streams", "streams that a cold engine bears at first")
	set.Int(&c.AnswersPerSlot, "answers-per-slot", engine.DefaultAnswersPerSlot, 1, 10_000, "answers", "answers that make a cold engine bear one stream more")
	set.Int(&o.tolerance, "tolerance", percent*engine.DefaultTolerance, percent, 100*percent, "percent", "offered streams, relative to what a cold engine bears, at which it falls over")
	set.Int(&c.QueueLimit, "queue-limit", engine.DefaultQueueLimit, 1, 100_000, "streams", "streams that may wait")
	set.Duration(&c.TokenInterval, "token-interval", engine.DefaultTokenInterval, time.Microsecond, time.Second, "time between tokens of a lone stream")
	set.Duration(&c.TokenPerStream, "token-per-stream", engine.DefaultTokenPerStream, time.Nanosecond, time.Second, "what each further stream adds to the time between tokens")
	set.Duration(&c.PrefillPerByte, "prefill-per-byte", engine.DefaultPrefillPerByte, time.Nanosecond, time.Second, "time that an uncached byte of the prompt takes")
	set.Int(&c.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, 1, 10_000_000, "blocks", "memory of the prefix cache")
	set.Duration(&c.LoadTime, "load-time", engine.DefaultLoadTime, time.Microsecond, time.Hour, "time that a load order takes")
	set.Duration(&c.FailTime, "fail-time", engine.DefaultFailTime, time.Microsecond, time.Hour, "time that the engine is down after a fall")
	set.Bool(&c.LoseWeights, "lose-weights", false, "a fall or cold turn loses the loaded weights")
	set.Bool(&c.LoseStaging, "lose-staging", false, "a fall or cold turn empties the staging area")
	set.Bool(&c.CheckFence, "check-fence", false, "refuse load orders with an old fencing number")
	set.Bool(&c.TrustStaging, "trust-staging", false, "load whatever is staged, also when chunks are missing")
	set.Int(&o.staging, "staging", engine.DefaultStagingBytes, 1<<10, 1<<40, "bytes", "size of the staging area")
	set.Duration(&c.ReportLag, "report-lag", engine.DefaultReportLag, time.Microsecond, time.Minute, "age of load reports")
	set.Duration(&c.EventLag, "event-lag", engine.DefaultEventLag, time.Microsecond, time.Minute, "age of cache events")
	set.Int(&o.gapRate, "event-gaps", 0, 0, percent, "percent", "share of cache events that is lost")
	set.Int(&o.seed, "seed", 1, 0, 1<<62, "", "seed of all chance")
	set.Text(&o.preload, "preload", "", "version that is loaded at start, without weights; for measurements without a spread", false)
	set.Bool(&o.warm, "warm", false, "bear the full batch from the start")
}

func (o *options) build() http.Handler {
	o.config.StagingBytes = int64(o.staging)
	o.config.Tolerance = float64(o.tolerance) / percent
	o.config.EventGapRate = float64(o.gapRate) / percent
	o.config.Seed = uint64(o.seed)
	server := engine.New(o.config)
	if o.preload != "" {
		server.Load(core.VersionID(o.preload), core.Digest{})
	}
	if o.warm {
		server.Warm()
	}
	return server
}

func main() {
	program := standin.NewProgram("standin-engine", "127.0.0.1:7300")
	var o options
	o.register(program.Settings)
	os.Exit(program.Run(o.build))
}
