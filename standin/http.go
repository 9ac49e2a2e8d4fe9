// Package standin holds the code shared by the stand-ins of the platform, the
// origin, the engine and the plain service. Stand-ins are for tests and
// measurements: the product never imports them.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// maxAdminBodyBytes bounds the JSON body of an admin call.
const maxAdminBodyBytes = 16 << 20

// WriteJSON responds with status and the JSON encoding of body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the bounded body of r into target and rejects unknown fields. On
// failure it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// DropConnection closes the caller's connection without a response. It panics with
// http.ErrAbortHandler, so it must be called on the goroutine of the handler.
func DropConnection() { panic(http.ErrAbortHandler) }

// Milliseconds returns the duration of count milliseconds.
func Milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// Sleep waits for d. It returns false if the caller of r disconnects first.
func Sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// PutHandler returns a handler that decodes the JSON body, passes it to set and
// responds with status 204.
func PutHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if !ReadJSON(w, r, &body) {
			return
		}
		set(body)
		w.WriteHeader(http.StatusNoContent)
	}
}

// GetHandler returns a handler that responds with the JSON encoding of get's result.
func GetHandler[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, get()) }
}
