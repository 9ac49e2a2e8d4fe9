// Package retryafter parses the Retry-After header of external systems.
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// Default is used if the header is missing or invalid.
	Default = time.Second
	// Max bounds the wait that an external system may request.
	Max = time.Minute
)

// Parse returns the wait that the header specifies in seconds, at most Max.
func Parse(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) {
		return Default
	}
	if seconds > Max.Seconds() {
		return Max
	}
	return time.Duration(seconds * float64(time.Second))
}
