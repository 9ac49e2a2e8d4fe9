package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"sigs.k8s.io/yaml"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/operatorapi"
)

const columnGap = 2

// print writes value as JSON if that format is selected, and calls table otherwise.
func (a *app) print(value any, table func()) error {
	if a.format != "json" {
		table()
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", data)
	return err
}

// table writes rows of tab-separated cells as aligned columns below title.
func (a *app) table(title string, rows []string) {
	if len(rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, title)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}

func (a *app) printProblems(problems catalogue.Problems) {
	if len(problems) == 0 {
		fmt.Fprintln(a.out, "No problems.")
		return
	}
	var rows []string
	for _, p := range problems {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", p.Object, p.Field, p.Detail))
	}
	a.table("OBJECT\tFIELD\tPROBLEM", rows)
}

func (a *app) printChanges(changes []catalogue.Change) {
	for _, change := range changes {
		fmt.Fprintln(a.out, change)
	}
}

func (a *app) printComparison(comparison operatorapi.Comparison) {
	if len(comparison.Changes) == 0 {
		fmt.Fprintf(a.out, "No changes against revision %d.\n", comparison.Revision)
	}
	a.printChanges(comparison.Changes)
	if len(comparison.Problems) > 0 {
		a.printProblems(comparison.Problems)
	}
}

func (a *app) printOutcome(outcome configsync.Outcome) {
	if outcome.Kind == configsync.Accepted {
		fmt.Fprintf(a.out, "accepted: revision %d. %s\n", outcome.Revision, outcome.Detail)
		return
	}
	if len(outcome.Problems) > 0 {
		a.printProblems(outcome.Problems)
	}
	if outcome.Cause == configsync.CauseConflict {
		fmt.Fprintf(a.out, "Revision %d by %s is in force. Changed since the base:\n", outcome.Revision, outcome.Author)
		a.printChanges(outcome.Changes)
	}
}

func (a *app) printDocument(doc configsync.Document) error {
	if a.format == "json" {
		return a.print(doc, nil)
	}
	data, err := yaml.Marshal(doc.Set)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "# Revision %d by %s at %s\n%s", doc.Revision, doc.Author, doc.Stamp.Time().UTC().Format(time.RFC3339), data)
	return err
}

func (a *app) printStatus(status operatorapi.Status) {
	fmt.Fprintf(a.out, "Seen by %s; configuration revision %d by %s\n\n", status.Process, status.ConfigRevision, orDash(status.ConfigAuthor))
	var rows []string
	for _, z := range status.Zones {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", z.Name, inOrOut(z.Out), orDash(z.Note)))
	}
	a.table("ZONE\tSTATE\tNOTE", rows)
	rows = nil
	for _, p := range status.Processes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%.1fs\t%s", p.VM, p.Role, p.Zone, p.ConfigRevision, p.SilentSeconds, orDash(mark(p.Leaving, "leaving"))))
	}
	a.table("\nPROCESS\tROLE\tZONE\tCONFIG\tSILENT\tNOTE", rows)
	rows = nil
	for _, e := range status.Endpoints {
		rows = append(rows, endpointRow(e))
	}
	a.table("\nENDPOINT\tZONE\tSERVES\tLOADED\tTARGET\tSTATE\tIN FLIGHT\tQUEUED\tCONFIG\tDETAIL", rows)
	rows = nil
	for _, s := range status.Spreads {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d/%d\t%s", s.Version, s.Zone, s.Endpoints, s.Complete, s.Serving, s.ChunksStored, s.ChunksTotal, timeLeft(s.SecondsLeft)))
	}
	a.table("\nVERSION\tZONE\tENDPOINTS\tCOMPLETE\tSERVING\tCHUNKS\tTIME LEFT", rows)
}

func endpointRow(e operatorapi.EndpointStatus) string {
	serves := string(e.Pool)
	if serves == "" {
		serves = string(e.Service)
	}
	state := "not ready"
	if e.Ready {
		state = "ready"
	}
	if e.Leaving {
		state = "leaving"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%s", e.VM, e.Zone, orDash(serves), orDash(string(e.Loaded)),
		orDash(string(e.Target)), state, e.InFlight, e.Limit, e.Queued, e.ConfigRevision, orDash(e.Detail))
}

func (a *app) printTimeline(found operatorapi.Timeline) {
	var rows []string
	for _, e := range found.Events {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", e.Stamp.Time().UTC().Format("15:04:05.000"), e.Process, e.Zone, e.Kind,
			orDash(e.Object), orDash(string(e.Request)), e.Text))
	}
	a.table("TIME\tPROCESS\tZONE\tKIND\tOBJECT\tREQUEST\tEVENT", rows)
	if found.Truncated {
		fmt.Fprintln(a.errOut, "zsctl: older events were left out; narrow the filter or raise -limit")
	}
	if len(found.Missing) > 0 {
		fmt.Fprintf(a.errOut, "zsctl: no answer from %v\n", found.Missing)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func mark(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func timeLeft(seconds float64) string {
	if seconds < 0 {
		return "-"
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

// writeCompletion writes a bash completion script for the command tree.
func writeCompletion(out io.Writer, root *ffcli.Command) error {
	var script strings.Builder
	script.WriteString("_zsctl() {\n  local word=\"${COMP_WORDS[COMP_CWORD]}\" list\n  case \"${COMP_WORDS[1]}\" in\n")
	var names []string
	for _, command := range root.Subcommands {
		names = append(names, command.Name)
		fmt.Fprintf(&script, "    %s) list=\"%s\" ;;\n", command.Name, strings.Join(words(command), " "))
	}
	fmt.Fprintf(&script, "  esac\n  [ \"$COMP_CWORD\" -eq 1 ] && list=\"%s\"\n", strings.Join(names, " "))
	script.WriteString("  COMPREPLY=($(compgen -W \"$list\" -- \"$word\"))\n}\ncomplete -o default -F _zsctl zsctl\n")
	_, err := io.WriteString(out, script.String())
	return err
}

// words returns the subcommands and flags of a command.
func words(command *ffcli.Command) []string {
	var found []string
	for _, sub := range command.Subcommands {
		found = append(found, sub.Name)
	}
	command.FlagSet.VisitAll(func(f *flag.Flag) { found = append(found, "-"+f.Name) })
	return found
}
