package operatorapi

import (
	"encoding/json"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"github.com/zinniaseam/zinniaseam/configsync"
)

// ErrorCode is the machine-readable cause of a refused request.
type ErrorCode string

// Codes of refused requests.
const (
	codeUnauthorized ErrorCode = "unauthorized"
	// codeTooManyGuesses refuses an address that sent too many wrong keys.
	codeTooManyGuesses ErrorCode = "too_many_guesses"
	codeBadRequest     ErrorCode = "bad_request"
	codeTooLarge       ErrorCode = "too_large"
	codeNotFound       ErrorCode = "not_found"
	codeBadMethod      ErrorCode = "method_not_allowed"
	codeNothingYet     ErrorCode = "nothing_published"
	codeNotAvailable   ErrorCode = "not_available"
	codeInternalError  ErrorCode = "internal_error"
)

var errorStatus = map[ErrorCode]int{
	codeUnauthorized:   http.StatusUnauthorized,
	codeTooManyGuesses: http.StatusTooManyRequests,
	codeBadRequest:     http.StatusBadRequest,
	codeTooLarge:       http.StatusRequestEntityTooLarge,
	codeNotFound:       http.StatusNotFound,
	codeBadMethod:      http.StatusMethodNotAllowed,
	codeNothingYet:     http.StatusNotFound,
	codeNotAvailable:   http.StatusServiceUnavailable,
	codeInternalError:  http.StatusInternalServerError,
}

// ErrorBody is the JSON body of a refused request.
type ErrorBody struct {
	Error  ErrorCode `json:"error"`
	Detail string    `json:"detail"`
}

func writeError(w http.ResponseWriter, code ErrorCode, detail string) {
	if code == codeNotAvailable || code == codeTooManyGuesses {
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

// outcomeStatus maps the outcome of a publish to the status of the answer.
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

// serviceError types the errors of the router.
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

// recovered answers a request whose handler failed, without telling how.
func (a *api) recovered(reason any, w http.ResponseWriter) {
	a.Log.Error("A handler failed.", "reason", reason)
	writeError(w, codeInternalError, "The request could not be worked on.")
}
