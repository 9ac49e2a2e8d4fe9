// Command zsendpoint runs on an endpoint VM, co-located with one model engine or
// one plain service.
package main

import (
	"errors"
	"os"

	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/goruntime"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/program"
	"github.com/zinniaseam/zinniaseam/settings"
	"github.com/zinniaseam/zinniaseam/spread"
)

// defaultRegionKiB is the default bound on weight transfers between two regions in
// KiB per second: 79% of a 25 Mb/s link.
const defaultRegionKiB = 2400

// defaultRegionSlackMS is the default of RegionSlackMS: a fifth of the time between two
// tokens of an answer.
const defaultRegionSlackMS = 10

// options holds the settings of the program.
type options struct {
	node.Settings
	Runtime      goruntime.Settings
	Pool         string
	Service      string
	EngineURL    string
	ServiceURL   string
	StoreURL     string
	OriginRegion string
	Limiter      string
	Ledger       string
	ClaimWrites  int
	SpreadPolicy string
	UploadMiB    int
	DownloadMiB  int
	RegionKiB    int
	// RegionSlackMS is the rise of inter-region round-trip times, in milliseconds, at
	// which weight transfers slow down.
	RegionSlackMS int
}

func main() {
	os.Exit(program.Main(parse, initialize))
}

func parse(args []string) (*options, error) {
	var o options
	set := settings.New("zsendpoint", os.Stderr)
	o.Settings.Add(set)
	o.Runtime.Add(set)
	set.Text(&o.Pool, "pool", "", "pool that the engine belongs to; this or -service", false)
	set.Text(&o.Service, "service", "", "plain service on this VM; this or -pool", false)
	set.URL(&o.EngineURL, "engine-url", "", "URL of the engine, with -pool", false)
	set.URL(&o.ServiceURL, "service-url", "", "URL of the plain service, with -service", false)
	set.URL(&o.StoreURL, "store-url", "", "URL of the weight store and origin, with -pool", false)
	set.Text(&o.OriginRegion, "origin-region", "", "region in which the origin stands", false)
	set.OneOf(&o.Limiter, "gate-limiter", gate.DefaultLimiter, gate.Limiters.IDs(), "limiter of calls in flight")
	set.OneOf(&o.Ledger, "claims-ledger", "grouped", claims.Ledgers.IDs(), "ledger of calls that may not be repeated")
	set.Int(&o.ClaimWrites, "claims-write-rate", claims.DefaultProcessWriteRate, 1, 10_000, "writes/s", "bound on this process's writes of claims to the platform")
	set.OneOf(&o.SpreadPolicy, "spread-policy", "chunk_owner", spread.Policies.IDs(), "policy of the spread of weights")
	set.Int(&o.UploadMiB, "upload-rate", 0, 0, 1<<20, "MiB/s", "bound on weight uploads, 0 for none")
	set.Int(&o.DownloadMiB, "download-rate", 0, 0, 1<<20, "MiB/s", "bound on weight downloads, 0 for none")
	set.Int(&o.RegionKiB, "region-rate", defaultRegionKiB, 1, 1<<30, "KiB/s", "bound on weights over the link between two regions")
	set.Int(&o.RegionSlackMS, "region-slack", defaultRegionSlackMS, 0, 10_000, "ms", "rise of round trips between regions at which weights slow down, 0 for never")
	if err := set.Parse(args, os.Stdout); err != nil {
		return nil, err
	}
	return &o, o.check()
}

// check validates combinations of settings.
func (o *options) check() error {
	if (o.Pool == "") == (o.Service == "") {
		return errors.New("settings pool and service: set exactly one")
	}
	if o.Pool != "" && (o.EngineURL == "" || o.StoreURL == "" || o.OriginRegion == "") {
		return errors.New("setting pool: also needs engine-url, store-url and origin-region")
	}
	if o.Service != "" && o.ServiceURL == "" {
		return errors.New("setting service: also needs service-url")
	}
	return nil
}
