// Package settings reads a program's settings from flags and environment
// variables and validates all of them at start. All errors are reported
// together, each with the name, value, range and unit of the setting.
//
// The environment variable of the flag -peer-listen is ZINNIASEAM_PEER_LISTEN. A
// flag takes precedence over the environment.
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

// EnvPrefix is the prefix of the environment variables, without the underscore.
const EnvPrefix = "ZINNIASEAM"

// hiddenValue is printed in place of a secret.
const hiddenValue = "(hidden)"

// Set declares, parses and validates the settings of one program.
type Set struct {
	flags *flag.FlagSet
	items []item
	print bool
	errs  []error
}

type item struct {
	name   string
	unit   string
	secret bool
	check  func(value string) error
}

// New returns an empty set for the named program. Usage is printed to out.
func New(program string, out io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.flags.SetOutput(out)
	s.flags.BoolVar(&s.print, "print-settings", false, "print the effective settings with secrets hidden, then exit")
	return s
}

// FlagSet returns the underlying flag set, for programs with subcommands.
func (s *Set) FlagSet() *flag.FlagSet { return s.flags }

// Text adds a string setting. If required is set, an empty value is an error.
func (s *Set) Text(target *string, name, value, usage string, required bool) {
	s.flags.StringVar(target, name, value, usage)
	s.add(name, "", false, func(v string) error { return checkRequired(v, required) })
}

// Secret adds a string setting whose value is never printed. A value shorter than
// minLength bytes is an error. An empty value is an error only if required is set.
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

// OneOf adds a string setting whose value must be one of allowed.
func (s *Set) OneOf(target *string, name, value string, allowed []string, usage string) {
	s.flags.StringVar(target, name, value, usage+" (one of "+strings.Join(allowed, ", ")+")")
	s.add(name, "", false, func(v string) error {
		if !slices.Contains(allowed, v) {
			return fmt.Errorf("want one of %s", strings.Join(allowed, ", "))
		}
		return nil
	})
}

// Int adds an integer setting in the range [lowest, highest].
func (s *Set) Int(target *int, name string, value, lowest, highest int, unit, usage string) {
	s.flags.IntVar(target, name, value, fmt.Sprintf("%s, in %s (%d to %d)", usage, unit, lowest, highest))
	s.add(name, unit, false, func(string) error {
		if *target < lowest || *target > highest {
			return fmt.Errorf("want %d to %d %s", lowest, highest, unit)
		}
		return nil
	})
}

// Duration adds a duration setting in the range [lowest, highest].
func (s *Set) Duration(target *time.Duration, name string, value, lowest, highest time.Duration, usage string) {
	s.flags.DurationVar(target, name, value, fmt.Sprintf("%s (%s to %s)", usage, lowest, highest))
	s.add(name, "", false, func(string) error {
		if *target < lowest || *target > highest {
			return fmt.Errorf("want %s to %s", lowest, highest)
		}
		return nil
	})
}

// Bool adds a boolean setting.
func (s *Set) Bool(target *bool, name string, value bool, usage string) {
	s.flags.BoolVar(target, name, value, usage)
	s.add(name, "", false, func(string) error { return nil })
}

// Addr adds a setting for an IP address and port, such as 127.0.0.1:7000.
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

// URL adds a setting for an http URL whose host is an IP address with a port.
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

// AddError adds the error of a rule that spans several settings. Parse reports it
// along with the others; a nil error is ignored.
func (s *Set) AddError(err error) {
	if err != nil {
		s.errs = append(s.errs, err)
	}
}

// ErrPrinted is returned by Parse after it printed the settings because of
// -print-settings.
var ErrPrinted = errors.New("settings printed")

// Parse reads args and the environment and validates every setting. Its error
// joins the errors of all invalid settings.
func (s *Set) Parse(args []string, out io.Writer) error {
	if err := ff.Parse(s.flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	var errs []error
	for _, it := range s.items {
		value := s.flags.Lookup(it.name).Value.String()
		if err := it.check(value); err != nil {
			errs = append(errs, fmt.Errorf("setting %s = %q: %w", it.name, it.display(value), err))
		}
	}
	if err := errors.Join(append(errs, s.errs...)...); err != nil {
		return err
	}
	if s.print {
		s.printAll(out)
		return ErrPrinted
	}
	return nil
}

func (it item) display(value string) string {
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
		fmt.Fprintf(out, "%s=%s\n", it.name, it.display(value))
	}
}
