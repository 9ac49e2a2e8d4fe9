//go:build wireinject

package main

import (
	"time"

	"github.com/google/wire"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/gateway"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
	"github.com/zinniaseam/zinniaseam/transfer"
)

//go:generate wire

func initialize(opts *platform.Options, start time.Time) (*platform.Process, error) {
	wire.Build(
		platform.ProvideSettings, platform.ProvideLines, platform.ProvideLogger, platform.ProvideClock,
		provideDecoder, provideRenewalInterval, provideStore, platform.NewOrigin, wire.Bind(new(transfer.WeightSource), new(*platform.Origin)),
		provideDialect, providePlacement, provideConfig,
		fleet.NewTracker, placement.New, gateway.New, wire.Bind(new(program.Runner), new(*gateway.Gateway)), wire.Struct(new(platform.Process), "*"),
	)
	return nil, nil
}
