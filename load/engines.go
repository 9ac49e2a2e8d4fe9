package load

import (
	"context"
	"errors"
	"fmt"
)

// EngineReport is what engine stand-ins counted since their start.
type EngineReport struct {
	Engines int `json:"engines"`
	// Crashes counts how often a cold engine was pushed over.
	Crashes int `json:"falls"`
	Served  int `json:"served"`
	// Orders counts load orders that engines carried out.
	Orders int `json:"orders"`
	// OrdersDuringStreams counts those carried out while streams ran, which mixes their answers.
	OrdersDuringStreams int `json:"ordersUnderStreams"`
	// PromptBytes and CachedBytes measure the prefix caches.
	PromptBytes int `json:"promptBytes"`
	CachedBytes int `json:"cachedBytes"`
}

// engineStats is the part of an engine stand-in's counts that is read.
type engineStats struct {
	Falls       int `json:"falls"`
	Served      int `json:"served"`
	PromptBytes int `json:"promptBytes"`
	CachedBytes int `json:"cachedBytes"`
	Orders      []struct {
		Status  int `json:"status"`
		Running int `json:"running"`
	} `json:"orders"`
}

const statusDone = 200

// ReadEngines sums the counts of engine stand-ins, given by IP number and port.
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
	r.Crashes += stats.Falls
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

// Violations returns an error when an engine was pushed over or loaded under streams.
func (r *EngineReport) Violations() error {
	var broken []error
	if r.Crashes > 0 {
		broken = append(broken, fmt.Errorf("promise broken: cold engines were pushed over %d times", r.Crashes))
	}
	if r.OrdersDuringStreams > 0 {
		broken = append(broken, fmt.Errorf("promise broken: %d load orders took effect under running streams", r.OrdersDuringStreams))
	}
	return errors.Join(broken...)
}
