package operatorapi

import (
	"encoding/json"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"github.com/zinniaseam/zinniaseam/configsync"
)

// ErrorCode is the machine-readable cause of a rejected request.
type ErrorCode string

// Codes of rejected requests.
const (
	codeUnauthorized ErrorCode = "unauthorized"
	// codeTooManyAttempts rejects an address that sent too many wrong keys.
	codeTooManyAttempts  ErrorCode = "too_many_guesses"
	codeBadRequest       ErrorCode = "bad_request"
	codeTooLarge         ErrorCode = "too_large"
	codeNotFound         ErrorCode = "not_found"
	codeBadMethod        ErrorCode = "method_not_allowed"
	codeNothingPublished ErrorCode = "nothing_published"
	codeNotAvailable     ErrorCode = "not_available"
	codeInternalError    ErrorCode = "internal_error"
)

var errorStatus = map[ErrorCode]int{
	codeUnauthorized:     http.StatusUnauthorized,
	codeTooManyAttempts:  http.StatusTooManyRequests,
	codeBadRequest:       http.StatusBadRequest,
	codeTooLarge:         http.StatusRequestEntityTooLarge,
	codeNotFound:         http.StatusNotFound,
	codeBadMethod:        http.StatusMethodNotAllowed,
	codeNothingPublished: http.StatusNotFound,
	codeNotAvailable:     http.StatusServiceUnavailable,
	codeInternalError:    http.StatusInternalServerError,
}

// ErrorBody is the JSON body of the response to a rejected request.
type ErrorBody struct {
	Error  ErrorCode `json:"error"`
	Detail string    `json:"detail"`
}

func writeError(w http.ResponseWriter, code ErrorCode, detail string) {
	if code == codeNotAvailable || code == codeTooManyAttempts {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeJSON(w, errorStatus[code], ErrorBody{Error: code, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"internal_error","detail":"The answer cannot be written as JSON."}`)
	}
	w.Header().Set("Content-Type", restful.MIME_JSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// outcomeStatus maps the outcome of a publish to an HTTP status.
func outcomeStatus(outcome configsync.Outcome) int {
	switch outcome.Kind {
	case configsync.Accepted:
		return http.StatusOK
	case configsync.Unknown:
		return http.StatusGatewayTimeout
	}
	switch outcome.Cause {
	case configsync.CauseInvalid:
		return http.StatusUnprocessableEntity
	case configsync.CauseConflict, configsync.CauseStoreBehind:
		return http.StatusConflict
	case configsync.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case configsync.CauseUnknownZone:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

func writeOutcome(w http.ResponseWriter, outcome configsync.Outcome) {
	status := outcomeStatus(outcome)
	if status == http.StatusServiceUnavailable || outcome.Cause == configsync.CauseStoreBehind {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeJSON(w, status, outcome)
}

// serviceError writes the router's errors as an ErrorBody.
func serviceError(err restful.ServiceError, _ *restful.Request, response *restful.Response) {
	code := codeBadRequest
	switch err.Code {
	case http.StatusNotFound:
		code = codeNotFound
	case http.StatusMethodNotAllowed:
		code = codeBadMethod
	}
	writeError(response, code, err.Message)
}

// recovered handles a panic in a request handler. The response does not reveal the
// reason.
func (a *api) recovered(reason any, w http.ResponseWriter) {
	a.Log.Error("A request handler panicked; the response is an internal error.", "reason", reason)
	writeError(w, codeInternalError, "The request could not be worked on.")
}
