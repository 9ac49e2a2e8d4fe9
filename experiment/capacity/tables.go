package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

func printTables(out io.Writer, r *Result) {
	fmt.Fprintf(out, "capacity: seed %d, quick %t\n", r.Seed, r.Quick)
	table(out, "\nendpoint states in one message\nendpoints\tbytes\theap bytes\tbuild us\tencode us\tdecode us\tmerge us\talive us", func(w io.Writer) {
		for _, k := range r.Knowledge {
			fmt.Fprintf(w, "%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", k.Endpoints, k.MessageBytes, k.StateBytes, k.BuildMicros, k.EncodeMicros, k.DecodeMicros, k.MergeMicros, k.AliveMicros)
		}
	})
	table(out, "\nexchange between running nodes\nzones\tentries\tendpoints\texchanges/s an entry\tbytes each\treports/s an endpoint\tbytes each\tframing bytes\tbytes/s an entry\tfewest known\toldest s\tus an exchange", func(w io.Writer) {
		for _, e := range r.Exchange {
			fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t%d\t%.1f\t%.0f\n", e.Zones, e.Entries, e.Endpoints, e.BetweenPerEntry, e.BetweenBytes, e.ReportsPerEndpoint, e.ReportBytes, e.FramingBytes, e.EntryBytesPerSecond, e.FewestKnown, e.OldestSeconds, e.MicrosPerExchange)
		}
	})
	table(out, "\none change of the configuration\tentries\tendpoints\tdocument bytes\tbytes on the wire a process\ts until all have it", func(w io.Writer) {
		for _, c := range r.Changes {
			fmt.Fprintf(w, "%d objects\t%d\t%d\t%d\t%.0f\t%.2f\n", c.Objects, c.Entries, c.Endpoints, c.DocumentBytes, c.WireBytes, c.Seconds)
		}
	})
	table(out, "\nstreamed chats through an entry\nendpoints known\ttokens\trequests\tus a request\tbytes to and from the endpoint", func(w io.Writer) {
		for _, q := range r.Requests {
			fmt.Fprintf(w, "%d\t%d\t%d\t%.0f\t%.0f\n", q.Endpoints, q.Tokens, q.Requests, q.Micros, q.BackendBytes)
		}
	})
	table(out, "\ndecisions\tsize\tus", func(w io.Writer) {
		for _, d := range r.Decisions {
			fmt.Fprintf(w, "%s\t%d\t%.2f\n", d.Name, d.Size, d.Micros)
		}
	})
	table(out, "\ndocuments\titems\tbytes\tgzip bytes\tpublish us\ttake us", func(w io.Writer) {
		for _, d := range r.Documents {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f\t%.0f\n", d.Name, d.Items, d.Bytes, d.CompressedBytes, d.PublishMicros, d.TakeMicros)
		}
	})
	table(out, "\nmemory\titems\tbytes an item", func(w io.Writer) {
		for _, m := range r.Memory {
			fmt.Fprintf(w, "%s\t%d\t%.0f\n", m.Name, m.Items, m.Bytes)
		}
	})
	m := r.Messages
	table(out, "\nencoded message\tbytes", func(w io.Writer) {
		fmt.Fprintf(w, "endpoint state\t%d\nload with sequence and VM number only\t%d\ncall with a body of 1024 bytes\t%d\ntoken\t%d\nend of a call, with load\t%d\nchunk request\t%d\nempty report\t%d\n",
			m.EndpointState, m.LoadOnly, m.CallRequest, m.CallToken, m.CallEnd, m.ChunkRequest, m.EmptyReport)
	})
	p := r.Platform
	fmt.Fprintf(out, "\nplatform: %d entries in %d zones, %d watch; reads/s: %.2f a watcher, %.3f another entry, %.1f in all\n",
		p.Entries, p.Zones, p.Watchers, p.WatcherReads, p.OtherReads, p.Reads)
	printSlopes(out, r.Slopes)
}

// printSlopes prints the slopes.
func printSlopes(out io.Writer, slopes []Slope) {
	table(out, "\nslope\tvalue\tunit", func(w io.Writer) {
		for _, s := range slopes {
			fmt.Fprintf(w, "%s\t%.4g\t%s\n", s.Name, s.Value, s.Unit)
		}
	})
}

// table prints head, a title line and a line of column names, followed by rows in
// aligned columns.
func table(out io.Writer, head string, rows func(io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	_ = w.Flush()
}
