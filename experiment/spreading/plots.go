package spreading

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// curveLimit is the multiple of the lower bound at which the time axis ends, so that
	// slow baselines do not dominate the plot.
	curveLimit = 6
)

// drawPlots writes, for each shape without faults, a plot of the replicas over time
// and one of the bytes sent by the origin and the region links.
func drawPlots(dir string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	shapes := map[Shape][]Row{}
	for _, row := range rows {
		if row.Fault == FaultNone {
			shapes[row.Shape] = append(shapes[row.Shape], row)
		}
	}
	for shape, group := range shapes {
		name := fmt.Sprintf("n%d-r%d.svg", shape.Machines, shape.Regions)
		if err := drawReplicas(filepath.Join(dir, "spread-replicas-"+name), group); err != nil {
			return err
		}
		if err := drawBytes(filepath.Join(dir, "spread-bytes-"+name), group); err != nil {
			return err
		}
	}
	return nil
}

func drawReplicas(path string, rows []Row) error {
	first := rows[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Replicas over time, N=%d, %d zones, %d regions", first.Shape.Machines, first.Shape.Zones, first.Shape.Regions)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "machines that hold the whole"
	p.Legend.Top = true
	p.Legend.Left = true
	p.X.Min, p.X.Max = 0, curveLimit*first.BoundSeconds
	bound := plotter.XYs{{X: first.BoundSeconds, Y: 0}, {X: first.BoundSeconds, Y: float64(first.Shape.Machines)}}
	lines := []any{"lower bound", bound}
	for _, row := range rows {
		if points := replicaPoints(row); len(points) > 1 {
			lines = append(lines, row.Policy, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return save(p, path)
}

// replicaPoints returns the replicas over time as a step function, up to curveLimit
// times the lower bound.
func replicaPoints(row Row) plotter.XYs {
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, at := range row.Curve {
		if at > curveLimit*row.BoundSeconds {
			break
		}
		points = append(points, plotter.XY{X: at, Y: float64(i)}, plotter.XY{X: at, Y: float64(i + 1)})
	}
	return points
}

func drawBytes(path string, rows []Row) error {
	first := rows[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Bytes drawn, N=%d, %d zones, %d regions", first.Shape.Machines, first.Shape.Zones, first.Shape.Regions)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "copies sent so far"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, row := range rows {
		if row.Policy == "origin_only" {
			continue // Its N copies would set the scale and flatten the other curves.
		}
		origin, regional := bytePoints(row)
		lines = append(lines, row.Policy+", origin", origin)
		if row.Shape.Regions > 1 {
			lines = append(lines, row.Policy+", all region links", regional)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return save(p, path)
}

func bytePoints(row Row) (origin, regional plotter.XYs) {
	size := float64(row.Weights.SizeBytes)
	for _, s := range row.samples {
		at := (s.at - row.startAt).Seconds()
		origin = append(origin, plotter.XY{X: at, Y: float64(s.origin) / size})
		regional = append(regional, plotter.XY{X: at, Y: float64(s.regional) / size})
	}
	return origin, regional
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
