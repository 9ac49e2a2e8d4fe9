//go:build wireinject

package main

import (
	"time"

	"github.com/google/wire"

	"github.com/zinniaseam/zinniaseam/entry"
	"github.com/zinniaseam/zinniaseam/node"
)

//go:generate wire

func initialize(opts *options, start time.Time) (*entry.Process, error) {
	wire.Build(
		provideIdentity, provideLogger, providePicker, provideHedging, provideCacheNews, providePlatform, provideSyncer, provideOperator, provideConfig,
		node.New, entry.NewSyncer, entry.NewStatusSource, entry.NewTimelineSource, entry.NewEndpointTable, entry.NewDispatcher, entry.NewCallerAPI, entry.New,
	)
	return nil, nil
}
