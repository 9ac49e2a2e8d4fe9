package main

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/entry"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/operatorapi"
	"github.com/zinniaseam/zinniaseam/routing"
)

func provideIdentity(opts *options, start time.Time) (node.Identity, error) {
	return opts.Identity(core.RoleEntry, start)
}

func provideLogger(opts *options) (*log.Logger, error) { return opts.Logger() }

func providePicker(opts *options) (routing.Factory, error) { return routing.Pickers.New(opts.Picker) }

func provideHedging(opts *options) routing.HedgeConfig {
	ratio := float64(opts.HedgeBudget) / 100
	return routing.HedgeConfig{Off: !opts.Hedges, Budget: routing.BudgetConfig{Ratio: ratio}}
}

func provideCacheNews(opts *options) entry.CacheNews { return entry.CacheNews(opts.CacheNews) }

func providePlatform(opts *options) *platform.Client {
	return platform.New(opts.PlatformURL, platform.Options{})
}

func provideSyncer(syncer *configsync.Syncer) entry.Syncer { return syncer }

func provideOperator(opts *options, n *node.Node, syncer *configsync.Syncer, status *entry.StatusSource, events *entry.TimelineSource) (http.Handler, error) {
	keys, err := operatorapi.ParseKeys(opts.OperatorKeys)
	if err != nil {
		return nil, err
	}
	return operatorapi.New(operatorapi.Config{
		Keys: keys, Publisher: syncer.Publisher(), Documents: n.Holder, Orders: n, Status: status, Timeline: events,
		Recorder: n.Recorder, Clock: n.Recorder.Clock(), Log: n.Log,
	})
}

func provideConfig(opts *options) entry.Config {
	return entry.Config{
		CallerListen: opts.CallerListen, OperatorListen: opts.OperatorListen, OperatorTLS: opts.OperatorTLS, PeerListen: opts.PeerListen,
		ReadyGrace: opts.ReadyGrace, StopTimeout: opts.StopTimeout, Runtime: opts.Runtime,
	}
}
