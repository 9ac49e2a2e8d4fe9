//go:build wireinject

package main

import (
	"time"

	"github.com/google/wire"

	"github.com/zinniaseam/zinniaseam/endpoint"
	"github.com/zinniaseam/zinniaseam/node"
)

//go:generate wire

func initialize(opts *options, start time.Time) (*endpoint.Process, error) {
	wire.Build(
		provideIdentity, provideLogger, provideGate, provideEngine, provideService, providePlatform, provideOrigin,
		provideLedger, provideSpreader, provideConfig, provideManifests, provideFences,
		node.New, endpoint.New,
	)
	return nil, nil
}
