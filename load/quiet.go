package load

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/kernel"
)

// QuietWatch checks that back ends receive no new work after a grace period or, if
// Busy is set, that they do.
type QuietWatch struct {
	// Engines and Services list the IP numbers and ports of stand-ins.
	Engines  []string
	Services []string
	// Grace is the period in which work may still arrive, Duration the period after it
	// in which none may.
	Grace    time.Duration
	Duration time.Duration
	// Busy inverts the check: new work is required.
	Busy bool
}

// QuietReport is the machine-readable result of a QuietWatch.
type QuietReport struct {
	// NewWork counts the requests that arrived after the grace period.
	NewWork int `json:"newWork"`
	// InGrace counts the requests that arrived during the grace period.
	InGrace      int     `json:"inGrace"`
	GraceSeconds float64 `json:"graceSeconds"`
	Seconds      float64 `json:"seconds"`
	// Busy is set if new work was required.
	Busy bool `json:"busy,omitempty"`
}

// Violations returns an error if new work arrived after the grace period or, if Busy
// is set, if none did.
func (r *QuietReport) Violations() error {
	if r.Busy && r.NewWork == 0 {
		return fmt.Errorf("promise broken: no request reached back ends that should get work, in %.1f s", r.Seconds)
	}
	if r.Busy || r.NewWork == 0 {
		return nil
	}
	return fmt.Errorf("promise broken: %d requests reached back ends that should get no new work, later than %.1f s", r.NewWork, r.GraceSeconds)
}

// Run counts new work during the grace period and after it.
func (q *QuietWatch) Run(ctx context.Context) (*QuietReport, error) {
	first, err := q.count(ctx)
	if err != nil {
		return nil, err
	}
	if err := kernel.Sleep(ctx, q.Grace); err != nil {
		return nil, err
	}
	second, err := q.count(ctx)
	if err != nil {
		return nil, err
	}
	if err := kernel.Sleep(ctx, q.Duration); err != nil {
		return nil, err
	}
	third, err := q.count(ctx)
	if err != nil {
		return nil, err
	}
	return &QuietReport{
		NewWork: third - second, InGrace: second - first, GraceSeconds: q.Grace.Seconds(), Seconds: q.Duration.Seconds(),
		Busy: q.Busy,
	}, nil
}

// count returns the number of requests that the back ends have accepted so far.
func (q *QuietWatch) count(ctx context.Context) (int, error) {
	total := 0
	for _, address := range q.Engines {
		var stats struct {
			Started int `json:"started"`
		}
		if err := fetchJSON(ctx, address, "/admin/stats", &stats); err != nil {
			return 0, err
		}
		total += stats.Started
	}
	for _, address := range q.Services {
		var stats struct {
			Calls int `json:"calls"`
		}
		if err := fetchJSON(ctx, address, "/admin/stats", &stats); err != nil {
			return 0, err
		}
		total += stats.Calls
	}
	return total, nil
}
