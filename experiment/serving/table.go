package serving

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// median returns the median of values, the lower middle one for an even count.
func median[T cmp.Ordered](values []T) T {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}

// printTable writes aligned columns.
func printTable(out io.Writer, title string, header []string, rows [][]string) error {
	if _, err := fmt.Fprintln(out, title); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(header, "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// checks collects missed targets.
type checks struct{ missed []string }

// expect records a missed target if holds is false.
func (c *checks) expect(holds bool, format string, args ...any) {
	if !holds {
		c.missed = append(c.missed, fmt.Sprintf(format, args...))
	}
}

// err returns one error for all missed targets, nil if there are none.
func (c *checks) err() error {
	if len(c.missed) == 0 {
		return nil
	}
	return fmt.Errorf("targets missed: %s", strings.Join(c.missed, "; "))
}
