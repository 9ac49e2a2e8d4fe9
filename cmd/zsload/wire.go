//go:build wireinject

package main

import (
	"io"

	"github.com/google/wire"
)

//go:generate wire

func initialize(out io.Writer) *tool {
	wire.Build(
		newLoadCommand, newCompareCommand, newSpreadCommand, newQuietCommand, newVerdictCommand, newExperimentCommand,
		wire.Struct(new(tool), "*"),
	)
	return nil
}
