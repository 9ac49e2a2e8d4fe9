// Package settings reads a program's settings from flags and environment
// variables and checks every one at start. All errors are reported at once,
// each with name, value, range and unit.
//
// The flag -peer-listen has the environment variable ZINNIASEAM_PEER_LISTEN. A
// flag goes before the environment.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "ZINNIASEAM"

const hiddenValue = "(hidden)"

// Set is the settings of one program.
type Set struct {
	flags  *flag.FlagSet
	items  []item
	print  bool
	failed []error
}

type item struct {
	name   string
	unit   string
	secret bool
	check  func(value string) error
}

// New returns an empty set for the named program; usage goes to out.
func New(program string, out io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.flags.SetOutput(out)
	s.flags.BoolVar(&s.print, "print-settings", false, "print the effective settings with secrets hidden, then exit")
	return s
}

// FlagSet returns the underlying flags, for programs with subcommands.
func (s *Set) FlagSet() *flag.FlagSet { return s.flags }

// Text adds a string setting; required refuses the empty value.
func (s *Set) Text(target *string, name, value, usage string, required bool) {
	s.flags.StringVar(target, name, value, usage)
	s.add(name, "", false, func(v string) error { return checkRequired(v, required) })
}

// Secret adds a string setting whose value is never printed. A value shorter
// than minLength bytes is refused, the empty value only when required.
func (s *Set) Secret(target *string, name, usage string, minLength int, required bool) {
	s.flags.StringVar(target, name, "", usage)
	s.add(name, "bytes", true, func(v string) error {
		if v == "" {
			return checkRequired(v, required)
		}
		if len(v) < minLength {
			return fmt.Errorf("has %d bytes, want at least %d", len(v), minLength)
		}
		return nil
	})
}

// OneOf adds a setting with a fixed choice of values.
func (s *Set) OneOf(target *string, name, value string, allowed []string, usage string) {
	s.flags.StringVar(target, name, value, usage+" (one of "+strings.Join(allowed, ", ")+")")
	s.add(name, "", false, func(v string) error {
		if !slices.Contains(allowed, v) {
			return fmt.Errorf("want one of %s", strings.Join(allowed, ", "))
		}
		return nil
	})
}

// Int adds a whole-number setting within [least, most].
func (s *Set) Int(target *int, name string, value, least, most int, unit, usage string) {
	s.flags.IntVar(target, name, value, fmt.Sprintf("%s, in %s (%d to %d)", usage, unit, least, most))
	s.add(name, unit, false, func(string) error {
		if *target < least || *target > most {
			return fmt.Errorf("want %d to %d %s", least, most, unit)
		}
		return nil
	})
}

// Duration adds a duration setting within [least, most].
func (s *Set) Duration(target *time.Duration, name string, value, least, most time.Duration, usage string) {
	s.flags.DurationVar(target, name, value, fmt.Sprintf("%s (%s to %s)", usage, least, most))
	s.add(name, "", false, func(string) error {
		if *target < least || *target > most {
			return fmt.Errorf("want %s to %s", least, most)
		}
		return nil
	})
}

// Bool adds a boolean setting.
func (s *Set) Bool(target *bool, name string, value bool, usage string) {
	s.flags.BoolVar(target, name, value, usage)
	s.add(name, "", false, func(string) error { return nil })
}

// Addr adds an IP number with port, such as 127.0.0.1:7000.
func (s *Set) Addr(target *string, name, value, usage string, required bool) {
	s.flags.StringVar(target, name, value, usage)
	s.add(name, "", false, func(v string) error {
		if v == "" {
			return checkRequired(v, required)
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.New("want an IP number and port such as 127.0.0.1:7000")
		}
		return nil
	})
}

// URL adds an http URL whose host is an IP number.
func (s *Set) URL(target *string, name, value, usage string, required bool) {
	s.flags.StringVar(target, name, value, usage)
	s.add(name, "", false, func(v string) error {
		if v == "" {
			return checkRequired(v, required)
		}
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" {
			return errors.New("want a URL such as http://127.0.0.1:7000")
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return errors.New("want an IP number and port as host")
		}
		return nil
	})
}

func checkRequired(value string, required bool) error {
	if value == "" && required {
		return errors.New("is required")
	}
	return nil
}

func (s *Set) add(name, unit string, secret bool, check func(string) error) {
	s.items = append(s.items, item{name: name, unit: unit, secret: secret, check: check})
}

// AddError adds the error of a rule that spans several settings.
func (s *Set) AddError(err error) {
	if err != nil {
		s.failed = append(s.failed, err)
	}
}

// ErrPrinted is returned by Parse after -print-settings wrote the settings.
var ErrPrinted = errors.New("settings printed")

// Parse reads args and the environment and checks every setting.
func (s *Set) Parse(args []string, out io.Writer) error {
	if err := ff.Parse(s.flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	var failed []error
	for _, it := range s.items {
		value := s.flags.Lookup(it.name).Value.String()
		if err := it.check(value); err != nil {
			failed = append(failed, fmt.Errorf("setting %s = %q: %w", it.name, it.shown(value), err))
		}
	}
	if err := errors.Join(append(failed, s.failed...)...); err != nil {
		return err
	}
	if s.print {
		s.printAll(out)
		return ErrPrinted
	}
	return nil
}

func (it item) shown(value string) string {
	if it.secret && value != "" {
		return hiddenValue
	}
	return value
}

func (s *Set) printAll(out io.Writer) {
	for _, it := range s.items {
		value := s.flags.Lookup(it.name).Value.String()
		if value != "" && !it.secret {
			value = strings.TrimSpace(value + " " + it.unit)
		}
		fmt.Fprintf(out, "%s=%s\n", it.name, it.shown(value))
	}
}
