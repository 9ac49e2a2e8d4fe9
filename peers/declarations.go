package peers

import (
	"time"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/rollout"
)

// maxDecodedAges bounds the ages that are read from one message.
const maxDecodedAges = 64

// EncodeAges returns the messages that tell other processes the ages of a model's
// declarations.
func EncodeAges(model string, ages []rollout.Age) []*peerpb.DeclarationAge {
	var encoded []*peerpb.DeclarationAge
	for _, age := range ages {
		encoded = append(encoded, &peerpb.DeclarationAge{Model: model, Version: age.Version, AgeMs: milliseconds(age.Age)})
	}
	return encoded
}

// DecodeAges returns the ages in messages of another process, by model.
func DecodeAges(encoded []*peerpb.DeclarationAge) map[string][]rollout.Age {
	ages := map[string][]rollout.Age{}
	for _, e := range encoded[:min(len(encoded), maxDecodedAges)] {
		age := rollout.Age{Version: e.GetVersion(), Age: time.Duration(e.GetAgeMs()) * time.Millisecond}
		ages[e.GetModel()] = append(ages[e.GetModel()], age)
	}
	return ages
}
