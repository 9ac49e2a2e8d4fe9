// Command zsentry runs on an entry VM. It serves callers and operators and watches
// the platform for configuration and VM changes.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/goruntime"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/program"
	"github.com/zinniaseam/zinniaseam/routing"
	"github.com/zinniaseam/zinniaseam/settings"
)

// minOperatorKeyBytes is the minimum length of an operator key.
const minOperatorKeyBytes = 16

// options holds the settings of the program.
type options struct {
	node.Settings
	Runtime        goruntime.Settings
	CallerListen   string
	OperatorListen string
	OperatorKeys   string
	OperatorTLS    bool
	Picker         string
	Hedges         bool
	HedgeBudget    int
	CacheNews      bool
	ReadyGrace     time.Duration
}

func main() {
	os.Exit(program.Main(parse, initialize))
}

func parse(args []string) (*options, error) {
	var o options
	set := settings.New("zsentry", os.Stderr)
	o.Settings.Add(set)
	o.Runtime.Add(set)
	set.Addr(&o.CallerListen, "caller-listen", "", "IP number and port for callers", true)
	set.Addr(&o.OperatorListen, "operator-listen", "", "IP number and port for operators", true)
	set.Secret(&o.OperatorKeys, "operator-keys", "operator keys as name:key, separated by commas", minOperatorKeyBytes, true)
	set.Bool(&o.OperatorTLS, "operator-tls", false, "operators connect with TLS; needs -tls-dir")
	set.OneOf(&o.Picker, "routing-picker", "weighted", routing.Pickers.IDs(), "policy that picks endpoints")
	set.Bool(&o.Hedges, "hedges", true, "second attempts for idempotent calls whose first token is slow")
	set.Int(&o.HedgeBudget, "hedge-budget", 3, 1, 50, "% of the answers", "second attempts that answers earn")
	set.Bool(&o.CacheNews, "cache-news", true, "follow the prefix caches of the engines")
	set.Duration(&o.ReadyGrace, "ready-grace", time.Second, 0, time.Minute, "time between failing the readiness check and closing the listener")
	if err := set.Parse(args, os.Stdout); err != nil {
		return nil, err
	}
	if o.OperatorTLS && o.TLSDir == "" {
		return nil, errors.New("setting operator-tls = \"true\": needs tls-dir")
	}
	return &o, nil
}
