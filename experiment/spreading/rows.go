package spreading

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Targets of the chunk_owner policy.
const (
	maxRatio        = 1.3
	maxRatioDeaths  = 1.6
	maxOriginClean  = 2.0
	maxOriginFaults = 4.0
	maxRegionCopies = 1.1
	maxUpCopies     = 2.0
	maxGrowth       = 1.15
)

// newRow returns the row of a case for the outcomes of its seeds.
func newRow(outcomes []Outcome) Row {
	sorted := slices.Clone(outcomes)
	slices.SortStableFunc(sorted, func(a, b Outcome) int { return cmp.Compare(a.Ratio, b.Ratio) })
	row := Row{Outcome: sorted[len(sorted)/2], AllFinished: true}
	for _, o := range sorted {
		row.Ratios = append(row.Ratios, o.Ratio)
		row.MaxOrigin = max(row.MaxOrigin, o.OriginCopies)
		row.MaxRegionLink = max(row.MaxRegionLink, o.RegionLinkCopies)
		row.MaxRegionIn = max(row.MaxRegionIn, o.RegionInCopies)
		row.MaxUp = max(row.MaxUp, o.MaxUpCopies)
		row.AllFinished = row.AllFinished && o.Finished
	}
	return row
}

// checkTargets computes Growth and fills Missed with the targets that chunk_owner missed.
func (r *Result) checkTargets() {
	r.Missed = []string{}
	atMost := func(row Row, what string, value, limit float64) {
		if value > limit {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %s is %.2f, want at most %.2f", row.Case, what, value, limit))
		}
	}
	times := map[int]float64{}
	for _, row := range r.Rows {
		if row.Policy != chunkOwnerPolicy {
			continue
		}
		if !row.AllFinished {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: not finished", row.Case))
		}
		atMost(row, "origin copies", row.MaxOrigin, maxOriginFaults)
		atMost(row, "copies across a region link", row.MaxRegionLink, maxRegionCopies)
		atMost(row, "copies up a machine", row.MaxUp, maxUpCopies)
		switch row.Fault {
		case FaultNone:
			atMost(row, "ratio", row.Ratio, maxRatio)
			atMost(row, "origin copies", row.MaxOrigin, maxOriginClean)
			atMost(row, "copies into a region", row.MaxRegionIn, maxRegionCopies)
			if row.Shape.Regions == 1 {
				times[row.Shape.Machines] = row.All
			}
		case FaultDeaths:
			atMost(row, "ratio", row.Ratio, maxRatioDeaths)
		}
	}
	if times[64] > 0 && times[256] > 0 {
		r.Growth = times[256] / times[64]
		if r.Growth > maxGrowth {
			r.Missed = append(r.Missed, fmt.Sprintf("growth from N=64 to N=256 is %.2f, want at most %.2f", r.Growth, maxGrowth))
		}
	}
}

func printTable(out io.Writer, r Result) {
	fmt.Fprintf(out, "Spread of %d MiB in chunks of %d KiB under virtual time, seed %d, medians of up to %d runs.\n",
		r.Weights.SizeBytes/megabyte, r.Weights.ChunkBytes>>10, r.Seed, r.Runs)
	fmt.Fprintf(out, "Links in MB/s: origin %.1f, machine %.1f each way, between two regions %.2f each way.\n\n",
		r.Network.Origin/1e6, r.Network.Up/1e6, r.Network.Region/1e6)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tfault\tN\tzones\tregions\tbound s\tdirect s\tt(1)\tt(N/4)\tt(N/2)\tt(.95N)\tt(N)\tratio\tmin..max\torigin\tlink\tregion in\tup max\tdone\t")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f..%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%v\t\n",
			row.Policy, row.Fault, row.Shape.Machines, row.Shape.Zones, row.Shape.Regions, row.BoundSeconds, row.DirectBoundSeconds,
			row.First, row.Quarter, row.Half, row.Most, row.All, row.Ratio, row.Ratios[0], row.Ratios[len(row.Ratios)-1],
			row.MaxOrigin, row.MaxRegionLink, row.MaxRegionIn, row.MaxUp, row.AllFinished)
	}
	table.Flush()
	if r.Growth > 0 {
		fmt.Fprintf(out, "\nGrowth of the time to all from N=64 to N=256 in one region: %.3f\n", r.Growth)
	}
	for _, missed := range r.Missed {
		fmt.Fprintf(out, "Not reached: %s\n", missed)
	}
}
