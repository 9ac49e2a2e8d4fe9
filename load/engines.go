package load

import (
	"context"
	"errors"
	"fmt"
)

// EngineReport sums the counters of engine stand-ins since their start.
type EngineReport struct {
	Engines int `json:"engines"`
	// Crashes counts how often a cold engine crashed under overload.
	Crashes int `json:"falls"`
	Served  int `json:"served"`
	// Orders counts the load orders that engines applied.
	Orders int `json:"orders"`
	// OrdersDuringStreams counts the load orders that were applied while streams ran,
	// which mixes versions in their answers.
	OrdersDuringStreams int `json:"ordersUnderStreams"`
	// PromptBytes counts bytes of prompts, CachedBytes those found in prefix caches.
	PromptBytes int `json:"promptBytes"`
	CachedBytes int `json:"cachedBytes"`
}

// engineStats is the part of an engine stand-in's statistics that is read.
type engineStats struct {
	Crashes     int `json:"falls"`
	Served      int `json:"served"`
	PromptBytes int `json:"promptBytes"`
	CachedBytes int `json:"cachedBytes"`
	Orders      []struct {
		Status  int `json:"status"`
		Running int `json:"running"`
	} `json:"orders"`
}

// statusDone is the HTTP status that the stand-in records for an applied load order.
const statusDone = 200

// ReadEngines sums the counters of the engine stand-ins at the given IP numbers and
// ports.
func ReadEngines(ctx context.Context, engines []string) (*EngineReport, error) {
	report := &EngineReport{Engines: len(engines)}
	for _, address := range engines {
		var stats engineStats
		if err := fetchJSON(ctx, address, "/admin/stats", &stats); err != nil {
			return nil, err
		}
		report.add(&stats)
	}
	return report, nil
}

func (r *EngineReport) add(stats *engineStats) {
	r.Crashes += stats.Crashes
	r.Served += stats.Served
	r.PromptBytes += stats.PromptBytes
	r.CachedBytes += stats.CachedBytes
	for _, order := range stats.Orders {
		if order.Status != statusDone {
			continue
		}
		r.Orders++
		if order.Running > 0 {
			r.OrdersDuringStreams++
		}
	}
}

// Violations returns an error if an engine crashed under overload or loaded weights
// while streams ran.
func (r *EngineReport) Violations() error {
	var violations []error
	if r.Crashes > 0 {
		violations = append(violations, fmt.Errorf("promise broken: cold engines were pushed over %d times", r.Crashes))
	}
	if r.OrdersDuringStreams > 0 {
		violations = append(violations, fmt.Errorf("promise broken: %d load orders took effect under running streams", r.OrdersDuringStreams))
	}
	return errors.Join(violations...)
}
