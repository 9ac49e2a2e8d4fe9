//go:build wireinject

package main

import (
	"time"

	"github.com/google/wire"

	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
	"github.com/zinniaseam/zinniaseam/transfer"
)

//go:generate wire

func initialize(opts *platform.Options, start time.Time) (*platform.Process, error) {
	wire.Build(
		platform.ProvideSettings, platform.ProvideLines, platform.ProvideLogger,
		provideEngine, platform.NewOrigin, providePool, provideConfig,
		wire.Bind(new(agent.Engine), new(*platform.Engine)),
		wire.Bind(new(agent.Staging), new(*platform.Engine)),
		wire.Bind(new(agent.Loader), new(*platform.Engine)),
		wire.Bind(new(transfer.WeightSource), new(*platform.Origin)),
		agent.New, wire.Bind(new(program.Runner), new(*agent.Agent)), wire.Struct(new(platform.Process), "*"),
	)
	return nil, nil
}
