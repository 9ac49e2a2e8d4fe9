// Package logging creates a program's root logger, which writes text or JSON, and
// a non-blocking log writer. Each component logs under its own prefix.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Formats lists the allowed values of the log format setting.
var Formats = []string{"text", "json"}

// Levels lists the allowed values of the log level setting.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a root logger that writes to out. It returns an error if level is
// not one of Levels.
func New(out io.Writer, format, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	formatter := log.TextFormatter
	if format == "json" {
		formatter = log.JSONFormatter
	}
	return log.NewWithOptions(out, log.Options{
		Level: parsed, Formatter: formatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	}), nil
}

// Discard returns a logger that discards all messages.
func Discard() *log.Logger { return log.New(io.Discard) }
